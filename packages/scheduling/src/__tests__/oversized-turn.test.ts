import test from 'ava';
import { describe } from '@baobabdeck/test-tools';
import { planCappedWorkspace, type WorkspaceHolding } from '../decide/shares/capped-plan.js';
import { FIRST_TURN, type OversizedTurn } from '../decide/shares/oversized-turn.js';
import { addResources, fits, NO_RESOURCES, type Resources } from '../model/resources.js';

const CAP_MILLI_CORES = 3_000;
const TASK_MILLI_CORES = 4_000;
const CAP: Resources = { milliCores: CAP_MILLI_CORES, memoryMegabytes: Infinity, accelerators: Infinity };

function resourcesOf(milliCores: number): Resources {
  return { milliCores, memoryMegabytes: 1, accelerators: 0 };
}

/** What a service has of the workspace, in thousandths of a core. */
interface ModelService {
  running: number;
  ordinaryWaiting: number;
  oversizedWaiting: number;
  /** Whether a start waits that fits into the cap, but not into the limit. */
  largeWaiting: boolean;
  limit: number;
  oversizedLimit: number | null;
}

function serviceOf(ordinaryWaiting: number, oversizedWaiting: number): ModelService {
  return {
    running: 0,
    ordinaryWaiting,
    oversizedWaiting,
    largeWaiting: false,
    limit: 0,
    oversizedLimit: null,
  };
}

/** Services that exchange grants with a planner, and tasks that take one second each. */
function createModel(services: Readonly<Record<string, ModelService>>): {
  readonly exchange: (now: number) => void;
  readonly endRuns: (service: string) => void;
  readonly total: () => number;
  readonly starts: string[];
} {
  let turn: OversizedTurn = FIRST_TURN;
  const starts: string[] = [];
  const holdingOf = ([service, known]: readonly [string, ModelService]): WorkspaceHolding => ({
    service,
    limit: known.limit === 0 ? NO_RESOURCES : resourcesOf(known.limit),
    lowestLimit: resourcesOf(known.limit),
    running: resourcesOf(known.running),
    waiting: known.ordinaryWaiting > 0 ? resourcesOf(known.ordinaryWaiting * 1_000) : NO_RESOURCES,
    largestStart: resourcesOf(known.ordinaryWaiting > 0 ? 1_000 : 0),
    hasOversizedStart: known.oversizedWaiting > 0,
    hasLargeStart: known.largeWaiting,
    mayStartOversized: known.oversizedLimit !== null,
    isResponding: true,
  });
  const total = (): number => Object.values(services).reduce((sum, { running }) => sum + running, 0);
  const start = (service: string, known: ModelService): void => {
    while (known.ordinaryWaiting > 0 && known.running + 1_000 <= known.limit) {
      known.ordinaryWaiting -= 1;
      known.running += 1_000;
      starts.push(`${service} ordinary`);
    }
    if (
      known.oversizedWaiting > 0 &&
      known.oversizedLimit !== null &&
      known.running <= known.oversizedLimit
    ) {
      known.oversizedWaiting -= 1;
      known.running += TASK_MILLI_CORES;
      starts.push(`${service} oversized`);
    }
  };
  const exchange = (now: number): void => {
    const plan = planCappedWorkspace(CAP, Object.entries(services).map(holdingOf), turn, true, now, 0);
    turn = plan.turn;
    for (const { service, limit, oversizedLimit } of plan.limits) {
      const known = services[service];
      if (known !== undefined) {
        known.limit = limit.milliCores;
        known.oversizedLimit = oversizedLimit?.milliCores ?? null;
        start(service, known);
      }
    }
  };
  const endRuns = (service: string): void => {
    const known = services[service];
    if (known === undefined) return;
    known.running = 0;
  };
  return { exchange, endRuns, total, starts };
}

const EXCHANGE_MILLISECONDS = 125;

describe('turns of starts that exceed the cap', () => {
  test('go to one service after the other, one run at a time', (t) => {
    const model = createModel({ a: serviceOf(0, 2), b: serviceOf(0, 2) });
    let now = 0;
    for (let round = 0; round < 4; round += 1) {
      for (let count = 0; count < 8; count += 1) {
        model.exchange(now);
        t.true(model.total() <= TASK_MILLI_CORES);
        now += EXCHANGE_MILLISECONDS;
      }
      model.endRuns('a');
      model.endRuns('b');
    }
    t.deepEqual(model.starts, ['a oversized', 'b oversized', 'a oversized', 'b oversized']);
  });

  test('alternate with the starts that fit into the cap, so that neither waits for good', (t) => {
    const model = createModel({ a: serviceOf(1_000, 0), b: serviceOf(0, 1_000) });
    for (let now = 0; now < 60_000; now += EXCHANGE_MILLISECONDS) {
      if (now % 1_000 === 0) {
        model.endRuns('a');
        model.endRuns('b');
      }
      model.exchange(now);
      t.true(model.total() <= CAP_MILLI_CORES + TASK_MILLI_CORES);
    }
    const count = (start: string): number => model.starts.filter((other) => other === start).length;
    t.true(count('b oversized') >= 10);
    t.true(count('a ordinary') >= 50);
  });

  test('begin only once at most half of the cap is in use, and let the others use that half', (t) => {
    const services = { a: serviceOf(3, 0), b: serviceOf(0, 0) };
    const model = createModel(services);
    model.exchange(0);
    t.is(model.total(), 3_000);
    services.b.oversizedWaiting = 1;
    services.a.ordinaryWaiting = 5;
    for (let now = 3_000; now < 9_000; now += EXCHANGE_MILLISECONDS) model.exchange(now);
    t.false(model.starts.includes('b oversized'));
    services.a.running = 1_000;
    model.exchange(9_000);
    model.exchange(9_125);
    t.true(model.starts.includes('b oversized'));
  });
});

describe('a start that fits into the cap, but not beside runs that last', () => {
  test('may be made once its workspace has used at most half of its cap for a second', (t) => {
    const services = { a: serviceOf(0, 0), b: serviceOf(0, 0) };
    services.a.running = 1_000;
    services.b.largeWaiting = true;
    const model = createModel(services);
    for (let now = 0; now < 1_000; now += EXCHANGE_MILLISECONDS) {
      model.exchange(now);
      t.is(services.b.oversizedLimit, null);
    }
    model.exchange(1_000);
    model.exchange(1_000 + EXCHANGE_MILLISECONDS);
    t.is(services.b.oversizedLimit, CAP_MILLI_CORES - 1_000);
    services.b.running = 2_500;
    model.exchange(1_000 + 2 * EXCHANGE_MILLISECONDS);
    t.is(services.b.oversizedLimit, null);
  });
});

describe('a plan for a capped workspace', () => {
  const holdingOf = (service: string, fields: Partial<WorkspaceHolding> = {}): WorkspaceHolding => ({
    service,
    limit: NO_RESOURCES,
    lowestLimit: NO_RESOURCES,
    running: NO_RESOURCES,
    waiting: NO_RESOURCES,
    largestStart: NO_RESOURCES,
    hasOversizedStart: false,
    hasLargeStart: false,
    mayStartOversized: false,
    isResponding: true,
    ...fields,
  });
  const oversizedServices = (holdings: readonly WorkspaceHolding[], areAllKnown = true): readonly string[] =>
    planCappedWorkspace(CAP, holdings, FIRST_TURN, areAllKnown, 0, 0)
      .limits.filter(({ oversizedLimit }) => oversizedLimit !== null)
      .map(({ service }) => service);

  const wanting = holdingOf('a', { hasOversizedStart: true });

  test('allows a start that exceeds the cap where no other can be made', (t) => {
    t.deepEqual(oversizedServices([wanting, holdingOf('b')]), ['a']);
  });

  test('allows none while a limit of another service is in force', (t) => {
    t.deepEqual(oversizedServices([wanting, holdingOf('b', { limit: resourcesOf(1_000) })]), []);
  });

  test('allows none while another service may still be allowed one', (t) => {
    t.deepEqual(oversizedServices([wanting, holdingOf('b', { mayStartOversized: true })]), []);
  });

  describe('holds no service back in vain', () => {
    const limitOfOther = (fields: Partial<WorkspaceHolding>, areAllKnown: boolean): number | undefined => {
      const limit = resourcesOf(1_000);
      const waiting = resourcesOf(9_000);
      const other = holdingOf('b', { limit, lowestLimit: limit, waiting, largestStart: limit, ...fields });
      const { limits } = planCappedWorkspace(CAP, [wanting, other], FIRST_TURN, areAllKnown, 0, 1);
      return limits.find(({ service }) => service === 'b')?.limit.milliCores;
    };

    test('while a service is not known', (t) => {
      t.deepEqual(oversizedServices([wanting, holdingOf('b')], false), []);
      t.is(limitOfOther({}, false), 1_000);
    });

    test('while a service that may start something does not respond', (t) => {
      t.is(limitOfOther({ isResponding: false }, true), 3_000);
      t.is(limitOfOther({}, true), 0);
    });

    test('for a service that does not respond and may start nothing', (t) => {
      t.deepEqual(oversizedServices([wanting, holdingOf('b', { isResponding: false })]), ['a']);
    });
  });

  test('raises no limit while a service may be allowed a start that exceeds the cap', (t) => {
    const allowed = holdingOf('a', { mayStartOversized: true });
    const waiting = holdingOf('b', { waiting: resourcesOf(2_000), largestStart: resourcesOf(1_000) });
    const { limits } = planCappedWorkspace(CAP, [allowed, waiting], FIRST_TURN, true, 0, 0);
    t.true(limits.every(({ limit }) => limit.milliCores === 0));
  });

  test('keeps the sum of the limits within the cap at all other times', (t) => {
    const waiting = { waiting: resourcesOf(9_000), largestStart: resourcesOf(1_000) };
    const { limits } = planCappedWorkspace(
      CAP,
      [holdingOf('a', waiting), holdingOf('b', waiting)],
      FIRST_TURN,
      true,
      0,
      0,
    );
    const sum = limits.reduce((total, { limit }) => addResources(total, limit), NO_RESOURCES);
    t.true(fits({ ...sum, memoryMegabytes: 0, accelerators: 0 }, CAP));
  });
});
