import test from 'ava';
import { describe } from '@baobabdeck/test-tools';
import { planCappedWorkspace, type WorkspaceHolding } from '../decide/shares/capped-plan.js';
import { FIRST_TURN, type OversizedTurn } from '../decide/shares/oversized-turn.js';
import type { StartSize } from '../decide/shares/oversized-starts.js';
import { selectWithheldBy } from '../decide/shares/workspace-limits.js';
import { addResources, fits, NO_RESOURCES, type Resources } from '../model/resources.js';
import { capToResources, type ResourceCap } from '../model/workspace.js';
import { selectServiceReport } from '../service/demand.js';
import { createServiceHarness, jobOf, keyOf, type ServiceHarness } from './service-harness.js';

const CAP_MILLI_CORES = 3_000;
const TASK_MILLI_CORES = 4_000;

/** Ticks after which a waiting task has been tried on every worker. */
const TICKS_PER_FULL_SCAN = 10;

function coresOf(milliCores: number): ResourceCap {
  return { milliCores, memoryMegabytes: null, accelerators: null };
}

function resourcesOf(milliCores: number): Resources {
  return { milliCores, memoryMegabytes: 1, accelerators: 0 };
}

function harnessWithWorkers(): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(Array.from({ length: 10 }, (_, index) => `w${index}`));
  return harness;
}

function grant(
  harness: ServiceHarness,
  sequence: number,
  milliCores: number,
  oversizedLimit: ResourceCap | null,
): void {
  const workspace = {
    workspace: 'north',
    limit: coresOf(milliCores),
    cap: coresOf(CAP_MILLI_CORES),
    oversizedLimit,
    weight: 1,
  };
  const grants = { ownerEpoch: 1, cappedVersion: 0, workspaces: [workspace] };
  harness.dispatch({ kind: 'hosts-wished', releases: [], returns: [], epoch: 1, sequence, grants });
}

function endFirstRun(harness: ServiceHarness, jobId: string, index: number): void {
  const [run] = harness.state().jobs.get(jobId)?.occurrences.get(0)?.steps[0]?.tasks[index]?.runs ?? [];
  if (run === undefined) throw new Error('the task has no run');
  const ended = { number: 1, task: keyOf(jobId, index), run: run.run, end: 'done' as const, checkpoint: '' };
  harness.report(run.workerId, { ended: [ended] });
}

// Guards against jobs that stand still for good under a cap that stays below one of their tasks.
describe('a service with starts that exceed the cap of their workspace', () => {
  test('makes one of them at a time, while they are allowed', (t) => {
    const harness = harnessWithWorkers();
    const needs = resourcesOf(TASK_MILLI_CORES);
    harness.accept(jobOf('j', [{ taskCount: 3, needs }], { workspace: 'north' }));
    grant(harness, 1, CAP_MILLI_CORES, null);
    t.is(harness.takeStarts().length, 0);
    grant(harness, 2, 0, coresOf(CAP_MILLI_CORES));
    harness.confirmStarts();
    const runsOf = (): number =>
      harness
        .state()
        .jobs.get('j')
        ?.occurrences.get(0)
        ?.steps[0]?.tasks.filter(({ runs }) => runs.length > 0).length ?? 0;
    harness.advance(100);
    t.is(runsOf(), 1);
    endFirstRun(harness, 'j', 0);
    harness.advance(100);
    t.is(harness.takeStarts().length, 1);
  });

  test('makes none beside runs that take more than it may have running', (t) => {
    const harness = harnessWithWorkers();
    harness.accept(jobOf('small', [{ taskCount: 2 }], { workspace: 'north' }));
    grant(harness, 1, CAP_MILLI_CORES, null);
    harness.confirmStarts();
    const needs = resourcesOf(TASK_MILLI_CORES);
    harness.accept(jobOf('large', [{ needs }], { workspace: 'north' }));
    grant(harness, 2, 0, coresOf(1_000));
    t.is(harness.takeStarts().length, 0);
    endFirstRun(harness, 'small', 0);
    for (let tick = 0; tick < TICKS_PER_FULL_SCAN; tick += 1) harness.advance(100);
    t.is(harness.takeStarts().length, 1);
  });

  test('makes no start that fits into the cap out of the allowance of one that does not', (t) => {
    const harness = harnessWithWorkers();
    harness.accept(jobOf('small', [{ taskCount: 2 }], { workspace: 'north' }));
    grant(harness, 1, 0, coresOf(CAP_MILLI_CORES));
    t.is(harness.takeStarts().length, 0);
  });

  describe('with gangs', () => {
    const gangOf = (taskCount: number): ServiceHarness => {
      const harness = harnessWithWorkers();
      const gang = { taskCount, isGang: true, maximumPerWorker: 1 };
      harness.accept(jobOf('gang', [gang], { workspace: 'north' }));
      grant(harness, 1, 0, coresOf(CAP_MILLI_CORES));
      return harness;
    };

    test('makes one that exceeds the cap by a single task', (t) => {
      t.is(gangOf(4).takeStarts().length, 4);
    });

    test('keeps one that exceeds it by more waiting, without demand for hosts or a turn', (t) => {
      const harness = gangOf(50);
      t.is(harness.takeStarts().length, 0);
      const report = selectServiceReport(harness.state());
      t.is(report.missingHosts, 0);
      t.is(report.leastHosts, 0);
      t.is(report.waitingMilliCores, 0);
      const [use] = report.workspaces;
      t.false(use?.hasOversizedStart);
      t.is(use?.waiting.milliCores, 0);
    });
  });

  test('tells why each waiting start is withheld', (t) => {
    const harness = harnessWithWorkers();
    const withheldBy = (size: StartSize): unknown => selectWithheldBy(harness.state(), 'north', size);
    const taskNeeds = resourcesOf(1_000);
    const small = { startNeeds: taskNeeds, taskNeeds };
    const large = { startNeeds: resourcesOf(TASK_MILLI_CORES), taskNeeds: resourcesOf(TASK_MILLI_CORES) };
    const gang = { startNeeds: resourcesOf(50_000), taskNeeds };
    grant(harness, 1, 0, null);
    t.deepEqual([small, large, gang].map(withheldBy), ['workspace-limit', 'exceeds-cap', 'gang-exceeds-cap']);
    grant(harness, 2, 0, coresOf(CAP_MILLI_CORES));
    t.is(withheldBy(large), null);
    grant(harness, 3, CAP_MILLI_CORES, null);
    t.is(withheldBy(small), null);
  });

  test('reports them apart from the starts that fit into the cap', (t) => {
    const harness = harnessWithWorkers();
    const needs = resourcesOf(TASK_MILLI_CORES);
    const steps = [{ taskCount: 2, needs }];
    harness.accept(jobOf('large', steps, { workspace: 'north' }));
    harness.accept(jobOf('small', [{ taskCount: 2 }], { workspace: 'north' }));
    grant(harness, 1, 0, null);
    const [use] = selectServiceReport(harness.state()).workspaces;
    t.is(use?.waiting.milliCores, 2_000);
    t.is(use?.largestStart.milliCores, 1_000);
    t.true(use?.hasOversizedStart);
    t.false(use?.mayStartOversized);
    t.is(selectServiceReport(harness.state()).waitingMilliCores, 0);
  });
});

/** What a service has of the workspace, in thousandths of a core. */
interface ModelService {
  running: number;
  /** Runs of tasks that exceed the cap. */
  oversizedRuns: number;
  ordinaryWaiting: number;
  oversizedWaiting: number;
  /** Whether a start waits that fits into the cap, but not into the limit. */
  largeWaiting: boolean;
  limit: number;
  oversizedLimit: number | null;
  /** Limits that were sent and not yet applied. */
  pending: { readonly limit: number; readonly oversizedLimit: number | null } | null;
}

function serviceOf(ordinaryWaiting: number, oversizedWaiting: number): ModelService {
  return {
    running: 0,
    oversizedRuns: 0,
    ordinaryWaiting,
    oversizedWaiting,
    largeWaiting: false,
    limit: 0,
    oversizedLimit: null,
    pending: null,
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
  const cap = capToResources(coresOf(CAP_MILLI_CORES));
  const holdingOf = ([service, known]: readonly [string, ModelService]): WorkspaceHolding => {
    const limit = resourcesOf(Math.max(known.limit, known.pending?.limit ?? 0));
    return {
      service,
      limit: known.limit === 0 && known.pending === null ? NO_RESOURCES : limit,
      lowestLimit: resourcesOf(known.limit),
      running: resourcesOf(known.running),
      waiting: known.ordinaryWaiting > 0 ? resourcesOf(known.ordinaryWaiting * 1_000) : NO_RESOURCES,
      largestStart: resourcesOf(known.ordinaryWaiting > 0 ? 1_000 : 0),
      hasOversizedStart: known.oversizedWaiting > 0,
      hasLargeStart: known.largeWaiting,
      mayStartOversized: known.oversizedLimit !== null || (known.pending?.oversizedLimit ?? null) !== null,
    };
  };
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
      known.oversizedRuns += 1;
      known.running += TASK_MILLI_CORES;
      starts.push(`${service} oversized`);
    }
  };
  const exchange = (now: number): void => {
    const plan = planCappedWorkspace(cap, Object.entries(services).map(holdingOf), turn, true, now, 0);
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
    known.oversizedRuns = 0;
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

  test('is made by its service beyond the limit', (t) => {
    const harness = harnessWithWorkers();
    harness.accept(jobOf('j', [{ needs: resourcesOf(2_500) }], { workspace: 'north' }));
    grant(harness, 1, 2_000, null);
    t.is(harness.takeStarts().length, 0);
    t.true(selectServiceReport(harness.state()).workspaces[0]?.hasLargeStart);
    grant(harness, 2, 0, coresOf(2_000));
    t.is(harness.takeStarts().length, 1);
  });

  test('is reported only if its limit has too little left', (t) => {
    const harness = createServiceHarness();
    harness.accept(jobOf('j', [{ needs: resourcesOf(2_500) }], { workspace: 'north' }));
    grant(harness, 1, CAP_MILLI_CORES, null);
    t.false(selectServiceReport(harness.state()).workspaces[0]?.hasLargeStart);
  });
});

describe('a plan for a capped workspace', () => {
  const cap = capToResources(coresOf(CAP_MILLI_CORES));
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
    ...fields,
  });
  const oversizedServices = (holdings: readonly WorkspaceHolding[], areAllKnown = true): readonly string[] =>
    planCappedWorkspace(cap, holdings, FIRST_TURN, areAllKnown, 0, 0)
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

  test('allows none while a service is not known', (t) => {
    t.deepEqual(oversizedServices([wanting, holdingOf('b')], false), []);
  });

  test('raises no limit while a service may be allowed a start that exceeds the cap', (t) => {
    const allowed = holdingOf('a', { mayStartOversized: true });
    const waiting = holdingOf('b', { waiting: resourcesOf(2_000), largestStart: resourcesOf(1_000) });
    const { limits } = planCappedWorkspace(cap, [allowed, waiting], FIRST_TURN, true, 0, 0);
    t.true(limits.every(({ limit }) => limit.milliCores === 0));
  });

  test('keeps the sum of the limits within the cap at all other times', (t) => {
    const waiting = { waiting: resourcesOf(9_000), largestStart: resourcesOf(1_000) };
    const { limits } = planCappedWorkspace(
      cap,
      [holdingOf('a', waiting), holdingOf('b', waiting)],
      FIRST_TURN,
      true,
      0,
      0,
    );
    const sum = limits.reduce((total, { limit }) => addResources(total, limit), NO_RESOURCES);
    t.true(fits({ ...sum, memoryMegabytes: 0, accelerators: 0 }, cap));
  });
});
