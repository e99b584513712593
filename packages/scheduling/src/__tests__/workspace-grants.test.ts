import test from 'ava';
import { describe } from '@baobabdeck/test-tools';
import { divideCap, type ServiceHolding } from '../decide/shares/workspace-grants.js';
import { selectServiceGrants } from '../fleet/grants.js';
import type { FleetRecord } from '../fleet/state.js';
import { capToResources, NO_CAP, ZERO_CAP, type ResourceCap } from '../model/workspace.js';
import { createFleetHarness, DAY, reportOf, type FleetHarness } from './fleet-harness.js';

function coresOf(milliCores: number): ResourceCap {
  return { milliCores, memoryMegabytes: null, accelerators: null };
}

function resourcesOf(milliCores: number): {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
} {
  return { milliCores, memoryMegabytes: 0, accelerators: 0 };
}

function holdingOf(
  service: string,
  limit: number,
  running: number,
  waiting: number,
  start = 1_000,
): ServiceHolding {
  return {
    service,
    limit: resourcesOf(limit),
    lowestLimit: resourcesOf(limit),
    running: resourcesOf(running),
    waiting: resourcesOf(waiting),
    largestStart: resourcesOf(start),
  };
}

function coresByService(
  cap: number,
  holdings: readonly ServiceHolding[],
  mayRaise = true,
  turn = 0,
): unknown {
  const limits = divideCap(capToResources(coresOf(cap)), holdings, mayRaise, turn);
  return Object.fromEntries([...limits].map(([service, { milliCores }]) => [service, milliCores]));
}

describe('division of a cap', () => {
  test('gives each service its need and an equal part of the rest', (t) => {
    t.deepEqual(coresByService(10_000, [holdingOf('a', 0, 0, 4_000), holdingOf('b', 0, 0, 0)]), {
      a: 7_000,
      b: 3_000,
    });
  });

  test('divides a cap that does not suffice in proportion to need', (t) => {
    t.deepEqual(coresByService(12_000, [holdingOf('a', 0, 0, 20_000), holdingOf('b', 0, 0, 40_000)]), {
      a: 4_000,
      b: 8_000,
    });
  });

  test('gives one service a whole task where equal parts would let nothing start', (t) => {
    const holdings = ['a', 'b', 'c', 'd'].map((service) => holdingOf(service, 0, 0, 80_000, 4_000));
    t.deepEqual(coresByService(8_000, holdings), { a: 4_000, b: 4_000, c: 0, d: 0 });
    t.deepEqual(coresByService(8_000, holdings, true, 2), { a: 0, b: 0, c: 4_000, d: 4_000 });
  });

  test('gives what runs that last leave of the cap to one service at a time', (t) => {
    // Guards against parts that add up to the cap and let nothing start beside a run that lasts.
    const holdings = [
      holdingOf('a', 1_000, 1_000, 20_000, 1_800),
      holdingOf('b', 0, 0, 12_000, 2_100),
      holdingOf('c', 0, 0, 7_000, 1_900),
    ];
    t.deepEqual(coresByService(2_200, holdings), { a: 2_200, b: 0, c: 0 });
    // The limit of `a` is lowered to its part, since it is not its turn; its runs go on.
    t.deepEqual(coresByService(2_200, holdings, true, 1), { a: 33, b: 1_200, c: 0 });
  });

  test('raises no limit by more than nobody holds, and lowers at once', (t) => {
    const holdings = [holdingOf('a', 10_000, 6_000, 0), holdingOf('b', 0, 0, 90_000)];
    t.deepEqual(coresByService(10_000, holdings), { a: 1_000, b: 0 });
    t.deepEqual(coresByService(10_000, [holdingOf('a', 1_000, 6_000, 0), holdingOf('b', 0, 0, 90_000)]), {
      a: 1_000,
      b: 4_000,
    });
  });

  test('raises nothing while a service is not known', (t) => {
    t.deepEqual(coresByService(10_000, [holdingOf('a', 2_000, 0, 9_000)], false), { a: 2_000 });
  });
});

/** Fleet owner and its services, of which each applies the grants that it is sent. */
interface Exchange {
  readonly fleet: FleetHarness;
  /** Sends the next message to some services and returns the limits in them, in thousandths of a core. */
  readonly send: (...services: readonly string[]) => readonly (number | null)[];
  /** Reports the use of a service that applies the newest message, or another limit. */
  readonly report: (
    service: string,
    running: number,
    waiting: number,
    fields?: { granted?: ResourceCap; ownerEpoch?: number; epoch?: number; provenSequence?: number },
  ) => void;
}

function exchangeOf(records: readonly FleetRecord[] = [], fencingEpoch = 1, cap = coresOf(10_000)): Exchange {
  const fleet = createFleetHarness(records, ['a', 'b'], fencingEpoch);
  let sequence = 0;
  fleet.dispatch({
    kind: 'workspaces-configured',
    version: 1,
    workspaces: [{ name: 'north', weight: 1, cap }],
  });
  const limitOf = (service: string): ResourceCap | null =>
    selectServiceGrants(fleet.state(), service)?.workspaces[0]?.limit ?? null;
  return {
    fleet,
    send: (...services) => {
      const messages = services.map((service, index) => ({ service, sequence: sequence + index + 1 }));
      sequence += services.length;
      fleet.dispatch({ kind: 'grants-due', messages });
      return services.map((service) => limitOf(service)?.milliCores ?? null);
    },
    report: (service, running, waiting, fields = {}) => {
      const { granted = limitOf(service) ?? ZERO_CAP, ownerEpoch = 1, epoch = fencingEpoch } = fields;
      const use = {
        workspace: 'north',
        running: resourcesOf(running),
        waiting: resourcesOf(waiting),
        largestStart: resourcesOf(1_000),
        hasOversizedStart: false,
        hasLargeStart: false,
        granted,
        mayStartOversized: false,
      };
      const acknowledged = fleet.state().grants.services.get(service)?.sentSequence ?? 0;
      const { provenSequence = 0 } = fields;
      const grants = { ownerEpoch, epoch, sequence: acknowledged, provenSequence };
      fleet.dispatch({
        kind: 'service-reported',
        report: reportOf([], { service, workspaces: [use], grants }),
      });
    },
  };
}

/** Returns an exchange in which service `a` uses all of the cap. */
function exchangeInUse(): Exchange {
  const exchange = exchangeOf();
  exchange.send('a', 'b');
  exchange.report('a', 0, 50_000);
  exchange.report('b', 0, 0);
  exchange.send('a', 'b');
  exchange.report('a', 0, 50_000);
  exchange.report('b', 0, 0);
  exchange.send('a', 'b');
  exchange.report('a', 10_000, 40_000);
  exchange.report('b', 0, 0);
  return exchange;
}

describe('grants of the fleet owner', () => {
  test('grants a cap in the second exchange with all services', (t) => {
    const exchange = exchangeOf();
    t.deepEqual(exchange.send('a', 'b'), [null, null]);
    exchange.report('a', 0, 50_000);
    t.deepEqual(exchange.send('a', 'b'), [0, null]);
    exchange.report('b', 0, 0);
    exchange.report('a', 0, 50_000);
    // The other service has not yet acknowledged that the workspace is capped.
    t.deepEqual(exchange.send('a', 'b'), [0, 0]);
    exchange.report('b', 0, 0);
    t.deepEqual(exchange.send('a', 'b'), [10_000, 0]);
  });

  test('waits for the acknowledgement of a lower limit and for the end of runs before it raises another', (t) => {
    const exchange = exchangeInUse();
    exchange.report('b', 0, 50_000);
    t.deepEqual(exchange.send('a', 'b'), [5_000, 0]);
    t.deepEqual(exchange.send('b'), [0]);
    exchange.report('a', 10_000, 40_000);
    t.deepEqual(exchange.send('a', 'b'), [5_000, 0]);
    exchange.report('a', 7_000, 40_000);
    t.deepEqual(exchange.send('b'), [3_000]);
  });

  test('keeps the part of a service that does not answer, and of messages that may still arrive', (t) => {
    const exchange = exchangeInUse();
    exchange.report('b', 0, 50_000);
    exchange.send('a');
    exchange.fleet.advance(60_000);
    exchange.report('b', 0, 50_000);
    t.deepEqual(exchange.send('b'), [0]);
  });

  test('starts anew with a new owner of a service, and ignores the former one', (t) => {
    const exchange = exchangeInUse();
    exchange.report('a', 4_000, 40_000, { ownerEpoch: 2, granted: ZERO_CAP });
    exchange.report('a', 0, 0, { ownerEpoch: 1, granted: ZERO_CAP });
    exchange.report('b', 0, 50_000);
    const [a, b] = exchange.send('a', 'b');
    t.is(selectServiceGrants(exchange.fleet.state(), 'a')?.ownerEpoch, 2);
    t.true((a ?? 0) + (b ?? 0) <= 10_000);
  });

  describe('after a change of the fleet owner', () => {
    const PREDECESSOR: FleetRecord = { kind: 'host-settled', hostId: 'h', recordedAt: new Date(DAY) };

    test('raises nothing until every service is proven to hold no other grants', (t) => {
      const exchange = exchangeOf([PREDECESSOR], 7);
      exchange.send('a', 'b');
      exchange.report('a', 2_000, 50_000, { granted: coresOf(2_000) });
      exchange.report('b', 0, 0, { granted: ZERO_CAP });
      exchange.send('a', 'b');
      t.deepEqual(exchange.send('a', 'b'), [2_000, 0]);
      exchange.fleet.advance(3_100);
      exchange.send('a', 'b');
      exchange.report('a', 2_000, 50_000, { granted: coresOf(2_000), provenSequence: 7 });
      exchange.report('b', 0, 0, { granted: ZERO_CAP, provenSequence: 2 });
      t.deepEqual(exchange.send('a', 'b'), [2_000, 0]);
      exchange.report('b', 0, 0, { granted: ZERO_CAP, provenSequence: 8 });
      t.deepEqual(exchange.send('a', 'b'), [10_000, 0]);
    });

    test('ignores reports under an older epoch', (t) => {
      const exchange = exchangeOf([PREDECESSOR], 7);
      exchange.send('a', 'b');
      exchange.report('a', 0, 50_000, { epoch: 6 });
      t.is(exchange.fleet.state().grants.services.get('a')?.reportedAt, null);
    });
  });

  describe('with changed caps', () => {
    const configure = (exchange: Exchange, version: number, cap: ResourceCap): void => {
      const workspaces = [{ name: 'north', weight: 1, cap }];
      exchange.fleet.dispatch({ kind: 'workspaces-configured', version, workspaces });
    };

    test('applies the higher cap until the newer version is in force everywhere', (t) => {
      const exchange = exchangeInUse();
      configure(exchange, 2, coresOf(4_000));
      t.deepEqual(exchange.send('a'), [10_000]);
      exchange.fleet.advance(4_100);
      // 10 cores are in use: a start would add to what is above the cap.
      t.deepEqual(exchange.send('a'), [0]);
      exchange.report('a', 3_000, 40_000);
      t.deepEqual(exchange.send('a'), [4_000]);
    });

    test('lets no service start anything while the runs of another exceed a lowered cap', (t) => {
      const exchange = exchangeInUse();
      exchange.report('b', 0, 50_000);
      configure(exchange, 2, coresOf(4_000));
      exchange.fleet.advance(4_100);
      exchange.send('a', 'b');
      exchange.report('a', 10_000, 40_000);
      exchange.report('b', 0, 50_000);
      t.deepEqual(exchange.send('a', 'b'), [0, 0]);
    });

    test('raises nothing of a newly capped workspace until every service owner knows of the cap', (t) => {
      const exchange = exchangeOf([], 1, NO_CAP);
      exchange.send('a', 'b');
      exchange.report('a', 1_000, 50_000, { granted: NO_CAP });
      exchange.report('b', 0, 0, { granted: NO_CAP });
      configure(exchange, 2, coresOf(10_000));
      exchange.fleet.advance(4_100);
      t.deepEqual(exchange.send('a'), [1_000]);
      exchange.report('a', 1_000, 50_000);
      t.deepEqual(exchange.send('a', 'b'), [1_000, 0]);
      exchange.report('a', 1_000, 50_000);
      exchange.report('b', 0, 0);
      t.deepEqual(exchange.send('a', 'b'), [10_000, 0]);
    });

    test('lifts the limit of a workspace that was removed', (t) => {
      const exchange = exchangeInUse();
      exchange.fleet.dispatch({ kind: 'workspaces-configured', version: 2, workspaces: [] });
      t.deepEqual(exchange.send('a'), [null]);
      t.deepEqual(selectServiceGrants(exchange.fleet.state(), 'a')?.workspaces[0]?.limit, NO_CAP);
    });
  });
});
