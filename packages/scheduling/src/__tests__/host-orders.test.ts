import { describe } from '@baobabdeck/test-tools';
import { selectServiceHostRequests } from '../fleet/requested-actions.js';
import type { FleetRecord } from '../fleet/state.js';
import {
  DAY,
  HOST_MILLI_CORES,
  TWO_HOSTS,
  countRequested,
  createFleetHarness,
  hostOf,
  loadOf,
  ordersOf,
  reportOf,
  type FleetHarness,
} from './fleet-harness.js';

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

  it('does not ask a service to drain a host that has just arrived by a move to it', (t) => {
    const harness = createFleetHarness();
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
    reportNeed(harness);
    const [order] = ordersOf(harness.advance(250));
    if (order === undefined) {
      t.fail();
      return;
    }
    harness.list(...TWO_HOSTS, hostOf('h3', 'quotes'));
    t.deepEqual(selectServiceHostRequests(harness.state(), 'quotes').releases, []);
    harness.settle(order, 'accepted');
    t.deepEqual(selectServiceHostRequests(harness.state(), 'quotes').releases, []);
  });

  it('asks the service that a host leaves to drain it', (t) => {
    const harness = createFleetHarness([], ['quotes', 'orders']);
    const hosts = [...TWO_HOSTS, hostOf('h3', 'orders'), hostOf('h4', 'orders'), hostOf('h5', 'orders')];
    harness.list(...hosts);
    const loads = ['h3', 'h4', 'h5'].map((hostId) => loadOf(hostId));
    harness.dispatch({ kind: 'service-reported', report: reportOf(loads, { service: 'orders' }) });
    reportNeed(harness);
    harness.advance(250);
    const { releases } = selectServiceHostRequests(harness.state(), 'orders');
    t.deepEqual(releases, [{ hostId: 'h3', purpose: 'move' }]);
    t.deepEqual(selectServiceHostRequests(harness.state(), 'quotes').releases, []);
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

    const unacceptedOrder: FleetRecord = {
      kind: 'host-ordered',
      hostId: 'h3',
      what: { kind: 'move', pool: 'quotes' },
      isAccepted: false,
      recordedAt: new Date(DAY - 60_000),
    };

    itEarlier('sends an order of unknown outcome again once the lease of its owner has expired', (t) => {
      const harness = createFleetHarness([unacceptedOrder]);
      harness.list(...TWO_HOSTS, hostOf('h3', 'spare'));
      t.deepEqual(ordersOf(harness.advance(4_900)), []);
      t.deepEqual(
        ordersOf(harness.advance(200)).map(({ what }) => what),
        [{ kind: 'move', pool: 'quotes' }],
      );
    });

    itEarlier(
      'settles a move of unknown outcome without draining its host if the host is in its new pool',
      (t) => {
        const harness = createFleetHarness([unacceptedOrder]);
        harness.list(...TWO_HOSTS, hostOf('h3', 'quotes'));
        const effects = harness.advance(5_100);
        t.is(countRequested(harness), 0);
        const records = effects.flatMap((effect) =>
          effect.kind === 'store-fleet-records' ? effect.records : [],
        );
        t.like(records, [{ kind: 'host-settled', hostId: 'h3' }]);
      },
    );
  });
});
