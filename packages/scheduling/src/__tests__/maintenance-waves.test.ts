import { describe } from '@baobabdeck/test-tools';
import type { FleetEffect } from '../fleet/event.js';
import type { FleetRecord } from '../fleet/state.js';
import type { HostLoad } from '../model/service-report.js';
import {
  DAY,
  createFleetHarness,
  hostOf,
  loadOf,
  ordersOf,
  reportOf,
  type FleetHarness,
} from './fleet-harness.js';

describe('maintenance waves', ({ it }) => {
  const requestWave = (harness: FleetHarness, hostIds: readonly string[], maximumDown: number) =>
    harness.dispatch({ kind: 'wave-asked', wave: 1, hostIds, durationMilliseconds: 20_000, maximumDown });

  it('takes down no more hosts at once than the wave allows', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'spare')));
    requestWave(harness, hosts, 2);
    t.is(ordersOf(harness.advance(250)).length, 2);
    t.deepEqual(ordersOf(harness.advance(250)), []);
  });

  it('counts hosts that an earlier owner took down', (t) => {
    const taken: FleetRecord = {
      kind: 'host-ordered',
      hostId: 'h1',
      what: { kind: 'maintain', wave: 1 },
      isAccepted: true,
      recordedAt: new Date(DAY - 60_000),
    };
    const harness = createFleetHarness([taken]);
    harness.list(hostOf('h1', 'spare', { state: 'upkeep' }), hostOf('h2', 'spare'));
    requestWave(harness, ['h1', 'h2'], 1);
    t.deepEqual(ordersOf(harness.advance(250)), []);
  });

  it('ignores the release of an earlier incarnation of the worker of a host', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    harness.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((one) => loadOf(one))) });
    requestWave(harness, hosts, 4);
    harness.advance(10);
    const [requested = ''] = harness
      .state()
      .hosts.filter(({ requestedAction }) => requestedAction !== null)
      .keys();
    const reportRelease = (load: Partial<HostLoad>) => {
      const report = reportOf([loadOf(requested, { release: 'released', ...load })]);
      return ordersOf(harness.dispatch({ kind: 'service-reported', report }));
    };
    t.deepEqual(reportRelease({ workerId: 'earlier-incarnation' }), []);
    t.is(reportRelease({}).length, 1);
  });

  it('reports a wave as completed only once maintenance of every host has begun', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'spare')));
    requestWave(harness, hosts, 2);
    const [first, second] = ordersOf(harness.advance(250));
    if (first === undefined || second === undefined) {
      t.fail();
      return;
    }
    const statusesOf = (effects: readonly FleetEffect[]) =>
      effects.flatMap((effect) => (effect.kind === 'tell-wave-status' ? [effect.status] : []));
    harness.dispatch({ kind: 'wave-status-told', wave: 1, status: 'running', isStored: true });
    harness.settle(first, 'accepted');
    t.deepEqual(statusesOf(harness.advance(250)), []);
    harness.settle(second, 'accepted');
    t.deepEqual(statusesOf(harness.advance(250)), ['completed']);
  });

  it('takes all hosts of a wave at once if an earlier owner received it long before', (t) => {
    const seen: FleetRecord = {
      kind: 'wave-progress',
      wave: 1,
      seenSince: new Date(DAY - 12_000),
      begunHostIds: [],
      isCompleted: false,
      recordedAt: new Date(DAY - 12_000),
    };
    const countRequested = (records: readonly FleetRecord[]): number => {
      const harness = createFleetHarness(records);
      const hosts = ['h1', 'h2', 'h3', 'h4'];
      harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
      harness.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((one) => loadOf(one))) });
      requestWave(harness, hosts, 4);
      harness.advance(10);
      return harness.state().hosts.count(({ requestedAction }) => requestedAction?.what.kind === 'maintain');
    };
    t.is(countRequested([]), 1);
    t.is(countRequested([seen]), 4);
  });

  it('requests other hosts of a wave while a requested host cannot be drained', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6', 'h7', 'h8'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    requestWave(harness, hosts, 1);
    const requested = (): readonly string[] =>
      [...harness.state().hosts.values()]
        .filter(({ requestedAction }) => requestedAction !== null)
        .map(({ listing }) => listing.hostId);
    const requestedOnce = new Set<string>();
    for (let passed = 0; passed < 15_000; passed += 125) {
      const drained = requested();
      const report = reportOf(
        hosts.map((hostId) => loadOf(hostId, { release: drained.includes(hostId) ? 'draining' : null })),
        { lastingMilliCores: 1_000 },
      );
      harness.dispatch({ kind: 'service-reported', report });
      harness.advance(125);
      requested().forEach((hostId) => requestedOnce.add(hostId));
    }
    t.true(requestedOnce.size > 1, `requested ${[...requestedOnce].join(', ')}`);
  });

  it('lets a drained host wait until fewer hosts than the limit are down', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    const listHosts = (state: 'up' | 'upkeep', downId: string): void => {
      harness.list(
        ...hosts.map((hostId) => hostOf(hostId, 'quotes', { state: hostId === downId ? state : 'up' })),
      );
    };
    const reportReleased = () => {
      const { hosts: known } = harness.state();
      const loads = hosts.map((hostId) =>
        loadOf(hostId, { release: known.get(hostId)?.requestedAction == null ? null : 'released' }),
      );
      return ordersOf(harness.dispatch({ kind: 'service-reported', report: reportOf(loads) }));
    };
    listHosts('up', 'h1');
    reportReleased();
    requestWave(harness, hosts, 1);
    // The wave is behind its schedule by then, so that a second host is drained ahead.
    harness.advance(8_000);
    harness.advance(125);
    const requested = harness.state().hosts.count(({ requestedAction }) => requestedAction !== null);
    t.is(requested, 2);
    const [first] = reportReleased();
    if (first === undefined) {
      t.fail();
      return;
    }
    t.deepEqual(reportReleased(), []);
    harness.settle(first, 'accepted');
    listHosts('upkeep', first.hostId);
    t.deepEqual(reportReleased(), []);
    harness.advance(125);
    listHosts('up', first.hostId);
    t.is(reportReleased().length, 1);
  });

  it('counts a host as down that is requested again after an order of an earlier owner', (t) => {
    const ordered: FleetRecord = {
      kind: 'host-ordered',
      hostId: 'h1',
      what: { kind: 'maintain', wave: 1 },
      isAccepted: false,
      recordedAt: new Date(DAY - 60_000),
    };
    const harness = createFleetHarness([ordered]);
    harness.list(hostOf('h1', 'quotes'), hostOf('h2', 'spare'));
    requestWave(harness, ['h1', 'h2'], 1);
    t.deepEqual(ordersOf(harness.advance(5_100)), []);
    t.is(harness.state().hosts.get('h1')?.requestedAction?.what.kind, 'maintain');
    t.deepEqual(ordersOf(harness.advance(125)), []);
  });

  it('leaves a host to a wave that is behind its schedule instead of moving it', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2'];
    harness.list(
      ...hosts.map((hostId) => hostOf(hostId, 'quotes')),
      hostOf('h3', 'spare'),
      hostOf('h4', 'spare'),
    );
    requestWave(harness, ['h3'], 0);
    harness.advance(15_000);
    const waitingMilliCores = 100_000;
    const report = reportOf(
      hosts.map((hostId) => loadOf(hostId)),
      { waitingMilliCores },
    );
    harness.dispatch({ kind: 'service-reported', report });
    t.deepEqual(
      ordersOf(harness.advance(125)).map(({ hostId }) => hostId),
      ['h4'],
    );
  });

  it('moves hosts that no wave has yet to take before the others', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2'];
    harness.list(
      ...hosts.map((hostId) => hostOf(hostId, 'quotes')),
      hostOf('h3', 'spare'),
      hostOf('h4', 'spare'),
    );
    requestWave(harness, ['h3'], 0);
    const report = reportOf(
      hosts.map((hostId) => loadOf(hostId)),
      { waitingMilliCores: 10_000 },
    );
    harness.dispatch({ kind: 'service-reported', report });
    t.is(ordersOf(harness.advance(125))[0]?.hostId, 'h4');
  });
});
