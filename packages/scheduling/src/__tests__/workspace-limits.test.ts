import test from 'ava';
import { describe } from '@baobabdeck/test-tools';
import type { StepRequest } from '../model/job.js';
import type { ResourceCap } from '../model/workspace.js';
import { selectServiceReport } from '../service/demand.js';
import { createServiceHarness, jobOf, keyOf, type ServiceHarness } from './service-harness.js';

const CORES_8: ResourceCap = { milliCores: 8_000, memoryMegabytes: null, accelerators: null };

function coresOf(milliCores: number): ResourceCap {
  return { ...CORES_8, milliCores };
}

function grant(
  harness: ServiceHarness,
  limit: ResourceCap,
  sequence: number,
  fields: {
    epoch?: number;
    ownerEpoch?: number;
    cap?: ResourceCap;
    oversizedLimit?: ResourceCap | null;
  } = {},
): void {
  const { epoch = 1, ownerEpoch = 1, cap = coresOf(80_000), oversizedLimit = null } = fields;
  const grants = {
    ownerEpoch,
    cappedVersion: 0,
    workspaces: [{ workspace: 'north', limit, cap, oversizedLimit, weight: 1 }],
  };
  harness.dispatch({ kind: 'host-requests-received', releases: [], returns: [], epoch, sequence, grants });
}

/** Returns a harness with 40 cores and one job of the workspace `north`. */
function harnessWith(step: Partial<StepRequest>, priority = 0): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(Array.from({ length: 10 }, (_, index) => `w${index}`));
  harness.accept(jobOf('j', [step], { workspace: 'north', priority }));
  return harness;
}

function useOf(harness: ServiceHarness): unknown {
  return selectServiceReport(harness.state()).workspaces.map(({ workspace, running, waiting }) => [
    workspace,
    running.milliCores,
    waiting.milliCores,
  ]);
}

function end(harness: ServiceHarness, index: number): void {
  const [run] = harness.state().jobs.get('j')?.occurrences.get(0)?.steps[0]?.tasks[index]?.runs ?? [];
  if (run === undefined) throw new Error('the task has no run');
  const ended = { number: 1, task: keyOf('j', index), run: run.run, end: 'done' as const, checkpoint: '' };
  harness.report(run.workerId, { ended: [ended] });
}

describe('limits of workspaces in a service', () => {
  describe('without a grant', () => {
    test('starts nothing of a workspace that is not known to be uncapped', (t) => {
      const harness = harnessWith({ taskCount: 3 });
      t.is(harness.takeStarts().length, 0);
      t.deepEqual(useOf(harness), [['north', 0, 3_000]]);
    });

    test('starts tasks of a workspace that the configuration leaves uncapped', (t) => {
      const harness = harnessWith({ taskCount: 3 });
      const cap = { milliCores: null, memoryMegabytes: null, accelerators: null };
      harness.dispatch({
        kind: 'workspaces-configured',
        version: 1,
        workspaces: [{ name: 'north', weight: 1, cap }],
      });
      t.is(harness.takeStarts().length, 3);
    });

    test('starts tasks of jobs without a workspace', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w']);
      harness.accept(jobOf('j', [{ taskCount: 3 }]));
      t.is(harness.takeStarts().length, 3);
    });
  });

  describe('with a grant', () => {
    test('starts tasks up to the limit and the others when it is raised', (t) => {
      const harness = harnessWith({ taskCount: 20 });
      grant(harness, CORES_8, 1);
      t.is(harness.takeStarts().length, 8);
      grant(harness, coresOf(11_000), 2);
      t.is(harness.takeStarts().length, 3);
      t.deepEqual(useOf(harness), [['north', 11_000, 9_000]]);
    });

    test('stops nothing and starts nothing when it is lowered below what runs', (t) => {
      const harness = harnessWith({ taskCount: 20 });
      grant(harness, CORES_8, 1);
      harness.confirmStarts();
      grant(harness, coresOf(2_000), 2);
      harness.advance(100);
      t.is(harness.takeStarts().length + harness.takeStops().length, 0);
    });

    test('counts the cores of tasks that use spare capacity', (t) => {
      const harness = harnessWith({ taskCount: 20, usesSpareCapacity: true });
      grant(harness, CORES_8, 1);
      t.is(harness.takeStarts().length, 8);
    });

    test('starts a gang only as a whole', (t) => {
      const harness = harnessWith({ taskCount: 10, isGang: true });
      grant(harness, CORES_8, 1);
      t.is(harness.takeStarts().length, 0);
      grant(harness, coresOf(10_000), 2);
      t.is(harness.takeStarts().length, 10);
    });

    test('starts lasting tasks up to the limit', (t) => {
      const harness = harnessWith({ taskCount: 10, isLasting: true });
      grant(harness, coresOf(3_000), 1);
      t.is(harness.takeStarts().length, 3);
    });

    test('ignores older messages, older fleet owners and grants for another service owner', (t) => {
      const harness = harnessWith({ taskCount: 20 });
      grant(harness, coresOf(1_000), 5, { epoch: 2 });
      grant(harness, CORES_8, 4, { epoch: 2 });
      grant(harness, CORES_8, 9, { epoch: 1 });
      grant(harness, CORES_8, 6, { epoch: 2, ownerEpoch: 7 });
      t.is(harness.takeStarts().length, 1);
    });

    test('counts runs on workers that a new owner has not seen, and starts no more of them without a grant', (t) => {
      const harness = harnessWith({ taskCount: 20 });
      grant(harness, CORES_8, 1);
      harness.confirmStarts();
      const next = createServiceHarness(harness.records());
      t.deepEqual(useOf(next), [['north', 8_000, 12_000]]);
      next.addWorkers(['other']);
      next.advance(100);
      t.is(next.takeStarts().length, 0);
      grant(next, coresOf(9_000), 1);
      t.is(next.takeStarts().length, 1);
    });

    test('lets tasks of others start while many tasks wait for the limit', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(Array.from({ length: 10 }, (_, index) => `w${index}`));
      grant(harness, coresOf(1_000), 1);
      const north = Array.from({ length: 200 }, (_, index) =>
        jobOf(`n${index}`, [{}], { workspace: 'north' }),
      );
      harness.accept(...north);
      harness.takeStarts();
      harness.accept(jobOf('other', [{ taskCount: 39 }], { priority: 3 }));
      t.is(harness.takeStarts().length, 39);
    });
  });

  // Guards against the loss of accepted jobs while a cap is lowered for some seconds.
  describe('a cap that is lowered below a task or gang', () => {
    test('fails no waiting job, whose task starts once the cap is restored', (t) => {
      const harness = harnessWith({ needs: { milliCores: 4_000, memoryMegabytes: 1, accelerators: 0 } });
      harness.accept(jobOf('gang', [{ taskCount: 9, isGang: true }], { workspace: 'north' }));
      grant(harness, coresOf(0), 1, { cap: coresOf(3_000) });
      harness.advance(100);
      t.is(harness.state().jobs.get('j')?.phase, 'active');
      t.is(harness.state().jobs.get('gang')?.phase, 'active');
      t.is(harness.takeStarts().length, 0);
      grant(harness, coresOf(13_000), 2, { cap: coresOf(13_000) });
      t.is(harness.takeStarts().length, 10);
    });

    test('fails no job that arrives meanwhile', (t) => {
      const harness = createServiceHarness();
      harness.addWorkers(['w']);
      grant(harness, coresOf(0), 1, { cap: coresOf(3_000) });
      const needs = { milliCores: 4_000, memoryMegabytes: 1, accelerators: 0 };
      harness.accept(jobOf('late', [{ needs }], { workspace: 'north' }));
      t.is(harness.state().jobs.get('late')?.phase, 'active');
      grant(harness, CORES_8, 2, { cap: CORES_8 });
      t.is(harness.takeStarts().length, 1);
    });

    test('fails no job after its last run, and stops no run', (t) => {
      const harness = harnessWith({
        taskCount: 2,
        needs: { milliCores: 4_000, memoryMegabytes: 1, accelerators: 0 },
      });
      grant(harness, coresOf(4_000), 1);
      harness.confirmStarts();
      grant(harness, coresOf(3_000), 2, { cap: coresOf(3_000) });
      t.is(harness.takeStops().length, 0);
      end(harness, 0);
      harness.advance(100);
      t.is(harness.state().jobs.get('j')?.phase, 'active');
      grant(harness, coresOf(4_000), 3);
      t.is(harness.takeStarts().length, 1);
    });

    test('leaves the job active for the next owner of the service', (t) => {
      const harness = harnessWith({ needs: { milliCores: 4_000, memoryMegabytes: 1, accelerators: 0 } });
      grant(harness, coresOf(3_000), 1, { cap: coresOf(3_000) });
      harness.advance(100);
      const next = createServiceHarness(harness.records());
      t.is(next.state().jobs.get('j')?.phase, 'active');
    });
  });

  test('does not report tasks that wait for their limit as demand for hosts', (t) => {
    const harness = harnessWith({ taskCount: 100 });
    grant(harness, CORES_8, 1);
    t.is(selectServiceReport(harness.state()).waitingMilliCores, 0);
  });
});
