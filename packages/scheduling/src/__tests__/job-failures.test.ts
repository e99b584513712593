import { describe } from '@baobabdeck/test-tools';
import type { StepRequest } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import { selectFailureReason, selectJobStatus } from '../service/selectors.js';
import {
  QUOTES,
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  type ServiceHarness,
} from './service-harness.js';
import type { ServiceEffect } from '../state/effect.js';

const WORKSPACE = 'north';
const CAP = { milliCores: 8_000, memoryMegabytes: null, accelerators: null };

function fieldsOfFailure(effects: readonly ServiceEffect[]): Readonly<Record<string, unknown>> | undefined {
  return effectsOf(effects, 'log').find(({ decision }) => decision === 'jobFailed')?.fields;
}

/** Lets each run of a task fail until its job ends, and returns the effects of the last one. */
function failRuns(harness: ServiceHarness, jobId: string): readonly ServiceEffect[] {
  let effects: readonly ServiceEffect[] = [];
  for (let run = 1; harness.state().jobs.get(jobId)?.phase === 'active'; run += 1) {
    const [start] = harness.takeStarts();
    if (start === undefined) throw new Error('Expected a start');
    const failed = { number: run, task: keyOf(jobId), run, end: 'failed' as const, checkpoint: '' };
    effects = harness.report(start.address.workerId, { ended: [failed] });
  }
  return effects;
}

function harnessWithJob(step: Partial<StepRequest> = {}): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1', 'w2', 'w3']);
  const workspaces = [{ name: WORKSPACE, weight: 1, cap: CAP }];
  harness.dispatch({ kind: 'workspaces-configured', version: 7, workspaces });
  const granted = { workspace: WORKSPACE, limit: CAP, cap: CAP, oversizedLimit: null, weight: 1 };
  const grants = { ownerEpoch: 1, cappedVersion: 4, workspaces: [granted] };
  harness.dispatch({
    kind: 'host-requests-received',
    releases: [],
    returns: [],
    epoch: 1,
    sequence: 1,
    grants,
  });
  harness.accept(jobOf('a', [step], { workspace: WORKSPACE, maximumFailedRuns: 2 }));
  return harness;
}

/** Records of a job with a task under which as many workers crashed as it takes to give the task up. */
function recordsOfCrashingJob(): readonly StoredServiceRecord[] {
  const task = {
    index: 0,
    isDone: false,
    lastRun: 4,
    failedRuns: 0,
    workerCrashes: 4,
    isQuarantined: true,
    checkpoint: '',
    runs: [],
  };
  const progress = {
    phase: 'active' as const,
    queue: 'quotes',
    occurrencesDone: [],
    occurrencesDoneBelow: 0,
    occurrences: [{ occurrence: 0, steps: [[task]] }],
    hasStarted: true,
    failureReason: null,
  };
  return [
    { offset: 1, record: { kind: 'job-accepted', request: jobOf('a', [{}]) } },
    { offset: 2, record: { kind: 'job-progress', jobId: 'a', progress } },
  ];
}

describe('a job that fails', ({ describe: within, it }) => {
  within('log', ({ it: itLogs }) => {
    itLogs('names the task, its failed runs, and the cap with its version', (t) => {
      t.deepEqual(fieldsOfFailure(failRuns(harnessWithJob(), 'a')), {
        jobId: 'a',
        task: 'a/0/0/0',
        cause: 'runs-failed',
        failedRuns: 2,
        limit: 2,
        workerId: 'w2',
        workspace: WORKSPACE,
        capMilliCores: 8_000,
        capMemoryMegabytes: null,
        grantedMilliCores: 8_000,
        configurationVersion: 7,
        cappedVersion: 4,
      });
    });

    itLogs('names the task, the crashes of workers, and the evidence of the last one', (t) => {
      const harness = createServiceHarness(recordsOfCrashingJob());
      t.deepEqual(fieldsOfFailure(harness.addWorkers(['w1'])), {
        jobId: 'a',
        task: 'a/0/0/0',
        cause: 'workers-crashed',
        workerCrashes: 4,
        limit: 4,
        crashId: null,
        isConfirmed: true,
        isYoung: false,
        wasAlone: false,
      });
    });

    itLogs('has one line for each job, and none for jobs that end otherwise', (t) => {
      const harness = harnessWithJob();
      harness.accept(jobOf('cancelled', [{}]));
      t.is(fieldsOfFailure(harness.cancel('cancelled')), undefined);
      const failures = effectsOf(failRuns(harness, 'a'), 'log').filter(
        ({ decision }) => decision === 'jobFailed',
      );
      t.is(failures.length, 1);
    });
  });

  it('shows its reason to its caller', (t) => {
    const harness = harnessWithJob();
    t.is(selectFailureReason(harness.state(), 'a'), null);
    failRuns(harness, 'a');
    t.is(selectJobStatus(harness.state(), QUOTES, 'a'), 'failed');
    t.is(selectFailureReason(harness.state(), 'a'), '2 runs failed: task 0 of step 0');
  });

  it('shows its reason through the next owner', (t) => {
    const harness = harnessWithJob();
    failRuns(harness, 'a');
    const next = createServiceHarness(harness.records());
    t.is(selectFailureReason(next.state(), 'a'), '2 runs failed: task 0 of step 0');
  });

  it('shows the reason of a wide job, which is recorded in parts, through the next owner', (t) => {
    const harness = harnessWithJob({ taskCount: 100 });
    failRuns(harness, 'a');
    const next = createServiceHarness(harness.records());
    t.is(selectFailureReason(next.state(), 'a'), '2 runs failed: task 0 of step 0');
  });

  it('shows no reason to callers of a job that was cancelled', (t) => {
    const harness = harnessWithJob();
    harness.cancel('a');
    t.is(selectJobStatus(harness.state(), QUOTES, 'a'), 'cancelled');
    t.is(selectFailureReason(harness.state(), 'a'), null);
  });
});
