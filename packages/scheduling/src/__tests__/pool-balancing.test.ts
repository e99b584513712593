import { describe } from '@baobabdeck/test-tools';
import type { FleetEffect } from '../fleet/event.js';
import type { HostListing } from '../model/worker.js';
import type { ServiceReport } from '../model/service-report.js';
import {
  HOST_MILLI_CORES,
  TWO_HOSTS,
  countRequested,
  createFleetHarness,
  hostOf,
  loadOf,
  ordersOf,
  reportOf,
} from './fleet-harness.js';

const PEAK_VALIDITY_MILLISECONDS = 30_000;

describe('pool balancing', ({ describe: within, it }) => {
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
    t.is(countRequested(harness), 0);
    const reportIdleFor = (milliseconds: number): void => {
      for (let waited = 0; waited < milliseconds; waited += 250) {
        reportIdle();
        harness.advance(250);
      }
    };
    // The size of the pool counts as its latest peak, which may return.
    reportIdleFor(PEAK_VALIDITY_MILLISECONDS);
    t.is(countRequested(harness), 0);
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

  it('keeps the hosts of a burst for 30 s after it', (t) => {
    const harness = createFleetHarness();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    harness.list(...hosts.map((hostId) => hostOf(hostId, 'quotes')));
    /** Reports the same load for some time; returns the most hosts that were requested at once meanwhile. */
    const reportFor = (milliseconds: number, waitingMilliCores: number): number => {
      let mostRequested = 0;
      for (let waited = 0; waited < milliseconds; waited += 250) {
        const loads = hosts.map((hostId) => loadOf(hostId));
        harness.dispatch({ kind: 'service-reported', report: reportOf(loads, { waitingMilliCores }) });
        harness.advance(250);
        mostRequested = Math.max(mostRequested, countRequested(harness));
      }
      return mostRequested;
    };
    // The size of the pool counts as a peak at first, and would be forgotten before the burst is.
    t.is(reportFor(25_000, 0), 0);
    t.is(reportFor(250, 2 * HOST_MILLI_CORES), 0);
    t.is(reportFor(PEAK_VALIDITY_MILLISECONDS, 0), 0);
    t.is(reportFor(3_000, 0), 2);
  });

  it('restocks a pool from standby after a burst that it had too few hosts for', (t) => {
    const harness = createFleetHarness();
    const report = (fields: Partial<ServiceReport>): readonly FleetEffect[] => {
      const loads = [loadOf('h1'), loadOf('h2')];
      harness.dispatch({ kind: 'service-reported', report: reportOf(loads, fields) });
      return harness.advance(250);
    };
    harness.list(...TWO_HOSTS);
    report({ waitingMilliCores: 2 * HOST_MILLI_CORES });
    harness.list(...TWO_HOSTS, hostOf('h3', 'spare'), hostOf('h4', 'spare'), hostOf('h5', 'spare'));
    t.deepEqual(
      ordersOf(report({})).map(({ what }) => what),
      [
        { kind: 'move', pool: 'quotes' },
        { kind: 'move', pool: 'quotes' },
      ],
    );
  });

  it('takes hosts from the pool with the most to spare, one after the other', (t) => {
    const harness = createFleetHarness([], ['quotes', 'orders', 'invoices']);
    const hostsOf = (pool: string, count: number): readonly HostListing[] =>
      Array.from({ length: count }, (_, index) => hostOf(`${pool}-${index}`, pool));
    const quotes = hostsOf('quotes', 6);
    const orders = hostsOf('orders', 4);
    const report = (service: string, hosts: readonly HostListing[], fields: Partial<ServiceReport>): void => {
      const loads = hosts.map(({ hostId }) => loadOf(hostId));
      harness.dispatch({ kind: 'service-reported', report: reportOf(loads, { service, ...fields }) });
    };
    harness.list(...quotes, ...orders);
    report('quotes', quotes, {});
    report('orders', orders, {});
    report('invoices', [], { waitingMilliCores: 2 * HOST_MILLI_CORES });
    harness.advance(250);
    const requestedPools = harness
      .state()
      .hosts.filter(({ requestedAction }) => requestedAction !== null)
      .toList()
      .map(({ listing }) => listing.pool);
    t.deepEqual(requestedPools.sort().toArray(), ['orders', 'quotes', 'quotes', 'quotes']);
  });

  within('a burst of one pool', ({ it: itInBurst }) => {
    const POOLS = ['quotes', 'orders', 'invoices', 'returns'];
    /** Hosts of each pool but the one with the burst: an even share of all hosts. */
    const HOSTS_PER_POOL = 10;

    /** Reports a burst of the pool `quotes` for 3 s; returns how many hosts were requested from each other pool. */
    function requestedDuringBurst(fields: Partial<ServiceReport>): readonly number[] {
      const harness = createFleetHarness([], POOLS);
      const hosts = POOLS.flatMap((pool) =>
        Array.from({ length: HOSTS_PER_POOL }, (_, index) => hostOf(`${pool}-${index}`, pool)),
      );
      harness.list(...hosts);
      const report = (service: string, load: Partial<ServiceReport>): void => {
        const loads = hosts.filter(({ pool }) => pool === service).map(({ hostId }) => loadOf(hostId));
        harness.dispatch({ kind: 'service-reported', report: reportOf(loads, { service, ...load }) });
      };
      for (let waited = 0; waited < 3_000; waited += 250) {
        for (const pool of POOLS) report(pool, pool === 'quotes' ? fields : {});
        harness.advance(250);
      }
      const requested = harness.state().hosts.filter(({ requestedAction }) => requestedAction !== null);
      return POOLS.slice(1).map((pool) => requested.count(({ listing }) => listing.pool === pool));
    }

    itInBurst(
      'does not strip the other pools of the hosts that they keep for the return of their peaks',
      (t) => {
        t.deepEqual(requestedDuringBurst({ waitingMilliCores: 100 * HOST_MILLI_CORES }), [5, 5, 5]);
      },
    );

    itInBurst(
      'takes the reserves of the other pools for gangs and lasting tasks, which must be placed',
      (t) => {
        t.deepEqual(requestedDuringBurst({ missingHosts: 100 }), [8, 8, 8]);
      },
    );

    itInBurst('does not take more of the reserves than gangs and lasting tasks need', (t) => {
      const waitingMilliCores = 100 * HOST_MILLI_CORES;
      t.deepEqual(requestedDuringBurst({ missingHosts: 3, waitingMilliCores }), [5, 5, 5]);
    });
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
    t.is(countRequested(harness), 0);
  });
});
