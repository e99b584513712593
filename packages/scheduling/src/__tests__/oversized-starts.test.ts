import test from 'ava';
import { describe } from '@baobabdeck/test-tools';
import type { StartSize } from '../decide/shares/oversized-starts.js';
import { selectWithheldBy } from '../decide/shares/workspace-limits.js';
import type { Resources } from '../model/resources.js';
import type { ResourceCap } from '../model/workspace.js';
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
  harness.dispatch({ kind: 'host-requests-received', releases: [], returns: [], epoch: 1, sequence, grants });
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

describe('a start that fits into the cap, but not into the limit of its service', () => {
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
