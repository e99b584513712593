import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import type { FleetEffect, FleetEvent, HostOrderOutcome } from '../fleet/event.js';
import { reduceFleet, restoreFleet } from '../fleet/reduce.js';
import type { FleetRecord, FleetState } from '../fleet/state.js';
import type { HostListing } from '../model/worker.js';
import type { HostLoad, ServiceReport } from '../service/demand.js';

type Body = FleetEvent extends infer E ? (E extends FleetEvent ? Omit<E, 'at' | 'timeOfDay'> : never) : never;
type EffectOf<K extends FleetEffect['kind']> = Extract<FleetEffect, { readonly kind: K }>;

const DAY = new Date('2026-01-01T00:00:00Z').getTime();
const CLAIMED_AT = 1_000_000;
const PEAK_VALIDITY_MILLISECONDS = 30_000;
const HOST_MILLI_CORES = 10_000;

function hostOf(hostId: string, pool: string, fields: Partial<HostListing> = {}): HostListing {
  return {
    hostId,
    pool,
    state: 'up',
    dataCentre: 'west',
    rack: 'r1',
    capacity: { milliCores: HOST_MILLI_CORES, memoryMegabytes: 1_000, accelerators: 0 },
    workerId: pool === 'spare' ? null : `worker-of-${hostId}`,
    ...fields,
  };
}

function loadOf(hostId: string, fields: Partial<HostLoad> = {}): HostLoad {
  return {
    hostId,
    workerId: `worker-of-${hostId}`,
    committedMilliCores: 0,
    taskCount: 0,
    lastingCount: 0,
    isSound: true,
    release: null,
    ...fields,
  };
}

function reportOf(hosts: readonly HostLoad[], fields: Partial<ServiceReport> = {}): ServiceReport {
  return {
    service: 'quotes',
    hosts,
    waitingMilliCores: 0,
    lastingMilliCores: 0,
    offeredMilliCores: 0,
    leastHosts: 0,
    missingHosts: 0,
    ...fields,
  };
}

interface FleetHarness {
  readonly state: () => FleetState;
  readonly dispatch: (body: Body) => readonly FleetEffect[];
  readonly advance: (milliseconds: number) => readonly FleetEffect[];
  readonly list: (...hosts: readonly HostListing[]) => readonly FleetEffect[];
  readonly settle: (order: EffectOf<'order-host'>, outcome: HostOrderOutcome) => readonly FleetEffect[];
}

function ordersOf(effects: readonly FleetEffect[]): readonly EffectOf<'order-host'>[] {
  return effects.filter((effect): effect is EffectOf<'order-host'> => effect.kind === 'order-host');
}

/** Creates a fleet with a pool `quotes` and a standby pool `spare`; appends are answered at once. */
function createFleetHarness(records: readonly FleetRecord[] = []): FleetHarness {
  let now = CLAIMED_AT;
  let offset = 100;
  let state = restoreFleet({
    parameters: { holderLeaseMilliseconds: 3_000, ownershipProofMilliseconds: 2_000 },
    now,
    timeOfDay: new Date(DAY),
    claimedAt: now,
    provenAt: now,
    records,
  });
  const step = (body: Body): readonly FleetEffect[] => {
    const timeOfDay = new Date(DAY + now - CLAIMED_AT);
    const result = runSteps(reduceFleet(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects;
  };
  const dispatch = (body: Body): readonly FleetEffect[] => {
    const effects = [...step(body)];
    for (let index = 0; index < effects.length; index += 1) {
      const effect = effects[index];
      if (effect?.kind === 'store-fleet-records') {
        const { appendId, records: stored } = effect;
        effects.push(...step({ kind: 'fleet-records-stored', appendId, firstOffset: offset, askedAt: now }));
        offset += stored.length;
      }
    }
    return effects;
  };
  dispatch({
    kind: 'pools-known',
    pools: [
      { pool: 'quotes', isStandby: false },
      { pool: 'spare', isStandby: true },
    ],
  });
  return {
    state: () => state,
    dispatch,
    advance: (milliseconds) => {
      now += milliseconds;
      dispatch({ kind: 'ownership-proven', askedAt: now });
      return dispatch({ kind: 'ticked' });
    },
    list: (...hosts) => {
      now += 1;
      return dispatch({ kind: 'hosts-listed', hosts, askedAt: now });
    },
    settle: ({ hostId, fencingEpoch }, outcome) =>
      dispatch({ kind: 'host-order-settled', hostId, fencingEpoch, outcome }),
  };
}

const TWO_HOSTS = [hostOf('h1', 'quotes'), hostOf('h2', 'quotes')];

describe('pool balancing', ({ it }) => {
  it('moves as many standby hosts to a pool as it lacks', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'), hostOf('h4', 'spare'), hostOf('h5', 'spare'));
    const busy = reportOf([loadOf('h1'), loadOf('h2')], { waitingMilliCores: 2 * HOST_MILLI_CORES });
    harness.dispatch({ kind: 'service-reported', report: busy });
    const orders = ordersOf(harness.advance(250));
    t.deepEqual(
      orders.map(({ what }) => what),
      [
        { kind: 'move', pool: 'quotes' },
        { kind: 'move', pool: 'quotes' },
      ],
    );
  });

  it('moves a surplus host only after the surplus has lasted and the host is released', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    const reportIdle = () =>
      harness.dispatch({ kind: 'service-reported', report: reportOf(hosts.map((hostId) => loadOf(hostId))) });
    reportIdle();
    t.deepEqual(ordersOf(harness.advance(250)), []);
    t.is(
      harness.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
    const reportIdleFor = (milliseconds: number): void => {
      for (let waited = 0; waited < milliseconds; waited += 250) {
        reportIdle();
        harness.advance(250);
      }
    };
    // The size of the pool counts as its latest peak, which may return.
    reportIdleFor(PEAK_VALIDITY_MILLISECONDS);
    t.is(
      harness.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
    reportIdleFor(3_000);
    const requested = harness.state().hosts.filter(({ requestedAction }) => requestedAction !== null);
    t.is(requested.size, 1);
    const [hostId = ''] = requested.keys();
    const draining = hosts.map((one) => loadOf(one, { release: one === hostId ? 'draining' : null }));
    t.deepEqual(ordersOf(harness.dispatch({ kind: 'service-reported', report: reportOf(draining) })), []);
    const released = hosts.map((one) => loadOf(one, { release: one === hostId ? 'released' : null }));
    const [order] = ordersOf(harness.dispatch({ kind: 'service-reported', report: reportOf(released) }));
    t.is(order?.hostId, hostId);
  });

  it('keeps the hosts of a burst for the next one', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    const report = (fields: Partial<ServiceReport>): readonly FleetEffect[] => {
      const loads = hosts.map((hostId) => loadOf(hostId));
      harness.dispatch({ kind: 'service-reported', report: reportOf(loads, fields) });
      return harness.advance(250);
    };
    report({ waitingMilliCores: 2 * HOST_MILLI_CORES });
    for (let waited = 0; waited < 20_000; waited += 250) report({});
    t.is(
      harness.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
  });

  it('keeps hosts that run lasting tasks in their pool', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    for (let waited = 0; waited < 4_000; waited += 250) {
      const loads = hosts.map((hostId) => loadOf(hostId, { lastingCount: 1, taskCount: 1 }));
      harness.dispatch({ kind: 'service-reported', report: reportOf(loads) });
      harness.advance(250);
    }
    t.is(
      harness.state().hosts.count(({ requestedAction }) => requestedAction !== null),
      0,
    );
  });
});

describe('host orders', ({ describe: within, it }) => {
  const reportNeed = (harness: FleetHarness) =>
    harness.dispatch({
      kind: 'service-reported',
      report: reportOf([loadOf('h1'), loadOf('h2')], { waitingMilliCores: HOST_MILLI_CORES }),
    });

  it('records an order before it sends it, with a fencing token from the record', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    reportNeed(harness);
    const effects = harness.advance(250);
    const kinds = effects.map(({ kind }) => kind);
    t.true(kinds.indexOf('store-fleet-records') < kinds.indexOf('order-host'));
    t.is(ordersOf(effects)[0]?.fencingEpoch, 101);
  });

  it('sends an unanswered order again with the same fencing token', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    reportNeed(harness);
    const [order] = ordersOf(harness.advance(250));
    if (order === undefined) {
      t.fail();
      return;
    }
    const [again] = ordersOf(harness.settle(order, 'unanswered'));
    t.is(again?.fencingEpoch, order.fencingEpoch);
  });

  it('records the cooldown of ordered hosts on resignation and sends no more orders', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'), hostOf('h4', 'spare'));
    reportNeed(harness);
    harness.advance(250);
    const effects = harness.dispatch({ kind: 'resign-requested' });
    const records = effects.flatMap((effect) =>
      effect.kind === 'store-fleet-records' ? effect.records : [],
    );
    t.like(records.at(-1), { kind: 'fleet-resigned', rests: [{ hostId: 'h3', milliseconds: 3_000 }] });
    reportNeed(harness);
    t.deepEqual(ordersOf(harness.advance(250)), []);
  });

  it('gives up ownership if an order is fenced', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    reportNeed(harness);
    const [order] = ordersOf(harness.advance(250));
    const effects = order === undefined ? [] : harness.settle(order, 'fenced');
    t.true(effects.some(({ kind }) => kind === 'give-up-ownership'));
    t.deepEqual(harness.advance(250), []);
  });

  within('orders of an earlier owner', ({ it: itEarlier }) => {
    const settledAgo = (milliseconds: number): FleetRecord => ({
      kind: 'host-settled',
      hostId: 'h3',
      recordedAt: new Date(DAY - milliseconds),
    });

    itEarlier('keeps a host on cooldown after an order that ended shortly before', (t) => {
      const harness = createFleetHarness([settledAgo(100)]);
      harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      reportNeed(harness);
      t.deepEqual(ordersOf(harness.advance(250)), []);
      harness.advance(4_500);
      reportNeed(harness);
      t.is(ordersOf(harness.advance(500)).length, 1);
    });

    itEarlier('orders a host at once if its last order ended long before', (t) => {
      const harness = createFleetHarness([settledAgo(20_000)]);
      harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      reportNeed(harness);
      t.is(ordersOf(harness.advance(250)).length, 1);
    });

    itEarlier('respects the cooldowns recorded on resignation and adds none', (t) => {
      const resigned = (rests: readonly { hostId: string; milliseconds: number }[]): FleetRecord => ({
        kind: 'fleet-resigned',
        rests,
        recordedAt: new Date(DAY),
      });
      const withoutCooldown = createFleetHarness([settledAgo(100), resigned([])]);
      withoutCooldown.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      reportNeed(withoutCooldown);
      t.is(ordersOf(withoutCooldown.advance(250)).length, 1);
      const withCooldown = createFleetHarness([
        settledAgo(100),
        resigned([{ hostId: 'h3', milliseconds: 1_000 }]),
      ]);
      withCooldown.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      reportNeed(withCooldown);
      t.deepEqual(ordersOf(withCooldown.advance(250)), []);
      t.is(ordersOf(withCooldown.advance(800)).length, 1);
    });

    itEarlier('sends an order of unknown outcome again once the lease of its owner has expired', (t) => {
      const unacceptedOrder: FleetRecord = {
        kind: 'host-ordered',
        hostId: 'h3',
        what: { kind: 'move', pool: 'quotes' },
        isAccepted: false,
        recordedAt: new Date(DAY - 60_000),
      };
      const harness = createFleetHarness([unacceptedOrder]);
      harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      t.deepEqual(ordersOf(harness.advance(4_900)), []);
      t.deepEqual(
        ordersOf(harness.advance(200)).map(({ what }) => what),
        [{ kind: 'move', pool: 'quotes' }],
      );
    });
  });
});

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
});
