/** Guards against records that grow with the width of a job, and against tasks that a takeover runs again or loses. */
import { describe } from '@baobabdeck/test-tools';
import type { ServiceRecord, StoredServiceRecord } from '../model/records.js';
import type { JobRequest } from '../model/job.js';
import { restoreService } from '../service/restore.js';
import { selectJobStatus } from '../service/selectors.js';
import {
  QUOTES,
  createServiceHarness,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

const TASKS = 200;
const TASKS_PER_PART = 64;
const SMALL_NEEDS = { milliCores: 10, memoryMegabytes: 10, accelerators: 0 };

function wideJob(terms: Partial<JobRequest> = {}): JobRequest {
  return jobOf('a', [{ taskCount: TASKS, needs: SMALL_NEEDS }], terms);
}

/** Returns the number of tasks in the largest record. */
function largestRecord(records: readonly ServiceRecord[]): number {
  const sizes = records.map((record) => {
    if (record.kind === 'job-part-progress') {
      return record.part.steps.reduce((sum, { tasks }) => sum + tasks.length, 0);
    }
    if (record.kind !== 'job-progress') return 0;
    return record.progress.occurrences.flatMap(({ steps }) => steps.flat()).length;
  });
  return Math.max(...sizes);
}

function recordsOf(harness: ServiceHarness, from = 0): readonly ServiceRecord[] {
  return harness
    .records()
    .slice(from)
    .map(({ record }) => record);
}

function partsIn(records: readonly ServiceRecord[]): readonly number[] {
  return records.flatMap((record) => (record.kind === 'job-part-progress' ? [record.part.part] : []));
}

/** Starts a wide job on two workers; all its tasks run. */
function startWideJob(): ServiceHarness {
  const harness = createServiceHarness();
  harness.addWorkers(['w1', 'w2']);
  harness.accept(wideJob());
  // Each round of answers frees slots for further starts.
  for (let round = 0; round < TASKS; round += 1) harness.confirmStarts();
  harness.advance(10);
  return harness;
}

/** Reports the end of a task on the worker that runs it. */
function endTask(harness: ServiceHarness, index: number, number: number): readonly string[] {
  const [run] = harness.state().jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks[index]?.runs ?? [];
  if (run === undefined) throw new Error(`Expected a run of task ${index}`);
  const running = [...(harness.state().workers.get(run.workerId)?.tasks.values() ?? [])]
    .filter((key) => key.index !== index)
    .map((task) => ({ task, run: 1, checkpoint: '', percent: 100, load: null }));
  const end = { number, task: keyOf('a', index), run: 1, end: 'done' as const, checkpoint: '' };
  return startsOf(harness.report(run.workerId, { running, ended: [end] }));
}

/** The newest record of each subject, as a store returns them. */
function newestOf(records: readonly StoredServiceRecord[]): readonly StoredServiceRecord[] {
  const newest = new Map<string, StoredServiceRecord>();
  records.forEach((stored) => {
    const { record } = stored;
    const subject =
      'part' in record
        ? `part ${record.part.occurrence} ${record.part.part}`
        : `${record.kind} ${'jobId' in record ? record.jobId : ''}`;
    newest.delete(subject);
    if (record.kind !== 'job-part-forgotten') newest.set(subject, stored);
  });
  return [...newest.values()];
}

function doneTasks(records: readonly StoredServiceRecord[]): readonly number[] {
  const harness = createServiceHarness(newestOf(records));
  const tasks = harness.state().jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
  return tasks.flatMap((task, index) => (task.isDone ? [index] : []));
}

describe('a wide job', ({ describe: within, it }) => {
  it('records no more than 64 tasks in one record', (t) => {
    const records = recordsOf(startWideJob());
    t.is(largestRecord(records), TASKS_PER_PART);
    t.deepEqual([...new Set(partsIn(records))], [0, 1, 2, 3]);
  });

  it('records only the part again in which a task has ended', (t) => {
    const harness = startWideJob();
    const before = harness.records().length;
    endTask(harness, 70, 1);
    const added = recordsOf(harness, before);
    t.deepEqual(partsIn(added), [1]);
    t.deepEqual(
      added.map(({ kind }) => kind),
      ['job-progress', 'job-part-progress'],
    );
  });

  it('records no part again because of a report without changes', (t) => {
    const harness = startWideJob();
    endTask(harness, 0, 1);
    const before = harness.records().length;
    endTask(harness, 1, 2);
    t.deepEqual(partsIn(recordsOf(harness, before)), [0]);
  });

  it('deletes the parts of a forgotten job', (t) => {
    const harness = startWideJob();
    harness.cancel('a');
    harness
      .takeStops()
      .forEach(({ address }) => harness.dispatch({ kind: 'stop-settled', address, outcome: 'accepted' }));
    harness.advance(10);
    ['w1', 'w2'].forEach((workerId) => harness.report(workerId, {}));
    const before = harness.records().length;
    for (let elapsed = 0; elapsed < 130; elapsed += 1) harness.advance(1_000);
    const deleted = recordsOf(harness, before).flatMap((record) =>
      record.kind === 'job-part-forgotten' ? [record.part.part] : [],
    );
    t.deepEqual([...deleted].sort(), [0, 1, 2, 3]);
    t.true(recordsOf(harness, before).some(({ kind }) => kind === 'job-forgotten'));
  });

  within('after a change of the owner', ({ it: after }) => {
    after('restores every task as it was recorded', (t) => {
      const harness = startWideJob();
      [3, 70, 130, 199].forEach((index, position) => endTask(harness, index, position + 1));
      const next = createServiceHarness(newestOf(harness.records()));
      const tasks = next.state().jobs.get('a')?.occurrences.get(0)?.steps[0]?.tasks ?? [];
      t.deepEqual(
        tasks.flatMap((task, index) => (task.isDone ? [index] : [])),
        [3, 70, 130, 199],
      );
      t.is(tasks.filter(({ runs }) => runs.length === 1).length, TASKS - 4);
    });

    after('keeps each end that an earlier prefix of the log has shown', (t) => {
      const harness = startWideJob();
      [3, 70, 130, 199].forEach((index, position) => endTask(harness, index, position + 1));
      const records = harness.records();
      let known: readonly number[] = [];
      records.forEach((_, length) => {
        const done = doneTasks(records.slice(0, length + 1));
        t.true(known.every((index) => done.includes(index)));
        known = done;
      });
      t.deepEqual(known, [3, 70, 130, 199]);
    });

    after('records only parts with changes', (t) => {
      const harness = startWideJob();
      endTask(harness, 3, 1);
      const next = createServiceHarness(newestOf(harness.records()));
      next.addWorkers([]);
      next.cancel('a');
      t.deepEqual(partsIn(recordsOf(next, newestOf(harness.records()).length)), []);
      t.is(selectJobStatus(next.state(), QUOTES, 'a', null), 'cancelled');
    });
  });
});

describe('progress that an earlier version recorded as a whole', ({ it }) => {
  const task = { index: 2, isDone: true, lastRun: 1, failedRuns: 0, checkpoint: '', runs: [] };
  const sound = { workerCrashes: 0, isQuarantined: false };
  const progress = {
    phase: 'active' as const,
    queue: 'quotes',
    occurrencesDone: [],
    occurrencesDoneBelow: 0,
    occurrences: [{ occurrence: 0, steps: [[{ ...task, ...sound }]] }],
    hasStarted: true,
    failureReason: null,
  };
  const records: readonly StoredServiceRecord[] = [
    { offset: 1, record: { kind: 'job-accepted', request: wideJob() } },
    { offset: 2, record: { kind: 'job-progress', jobId: 'a', progress } },
  ];

  it('reads progress of an earlier version, and records it in parts with the next change', (t) => {
    t.deepEqual(doneTasks(records), [2]);
    const harness = createServiceHarness(records);
    harness.addWorkers(['w1', 'w2']);
    harness.advance(10);
    const added = recordsOf(harness, records.length);
    t.true(partsIn(added).includes(0));
    t.true(
      added.every((record) => record.kind !== 'job-progress' || record.progress.occurrences.length === 0),
    );
    t.deepEqual(doneTasks(harness.records()), [2]);
  });

  it('ignores parts that are older than progress recorded as a whole', (t) => {
    const part = { jobId: 'a', occurrence: 0, part: 0 };
    const stale = { ...part, steps: [{ step: 0, tasks: [{ ...task, ...sound, index: 5 }] }] };
    const withStale: readonly StoredServiceRecord[] = [
      { offset: 0, record: { kind: 'job-part-progress', part: stale } },
      ...records,
    ];
    t.deepEqual(doneTasks(withStale), [2]);
    const harness = createServiceHarness(withStale);
    harness.addWorkers(['w1', 'w2']);
    harness.advance(10);
    // The part is recorded anew and holds nothing of its former content.
    t.deepEqual(doneTasks(harness.records()), [2]);
  });

  it('deletes older parts with the job, also those without progress since', (t) => {
    const part = { jobId: 'a', occurrence: 0, part: 3 };
    const harness = createServiceHarness([
      { offset: 0, record: { kind: 'job-part-progress', part: { ...part, steps: [] } } },
      ...records,
    ]);
    harness.cancel('a');
    for (let elapsed = 0; elapsed < 130; elapsed += 1) harness.advance(1_000);
    const deleted = recordsOf(harness).flatMap((record) =>
      record.kind === 'job-part-forgotten' ? [record.part.part] : [],
    );
    t.true(deleted.includes(3));
  });
});

describe('a repeating job', ({ it }) => {
  const DAY = new Date('2026-01-01T00:00:00Z');
  const request = jobOf('a', [{ taskCount: 2 }], {
    repetition: { times: 3, firstDueAt: DAY, intervalMilliseconds: 1_000 },
  });

  it('deletes the parts of finished occurrences, and starts none of their tasks again after a takeover', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.accept(request);
    harness.confirmStarts();
    harness.advance(10);
    const ended = [0, 1].map((index) => ({
      number: index + 1,
      task: { ...keyOf('a', index), occurrence: 0 },
      run: 1,
      end: 'done' as const,
      checkpoint: '',
    }));
    harness.report('w1', { ended });
    const deleted = recordsOf(harness).flatMap((record) =>
      record.kind === 'job-part-forgotten' ? [record.part.occurrence] : [],
    );
    t.deepEqual(deleted, [0]);
    // Each prefix of the log that ends after the record of the finished occurrence.
    const records = harness.records();
    const finishedAt = records.findLastIndex(({ record }) => record.kind === 'job-progress');
    for (let length = finishedAt + 1; length <= records.length; length += 1) {
      const { state } = restoreService({
        service: 'quotes',
        parameters: harness.state().parameters,
        fencingEpoch: 2,
        now: 0,
        timeOfDay: DAY,
        claimedAt: 0,
        provenAt: 0,
        records: newestOf(records.slice(0, length)),
      });
      t.is(state.jobs.get('a')?.occurrencesDoneBelow, 1);
      // Its parts may be older and hold runs, which are stopped; no task of it may start again.
      const steps = state.jobs.get('a')?.occurrences.get(0)?.steps ?? [];
      t.true(steps.every(({ tasks }) => tasks.every(({ isDone }) => isDone)));
    }
  });
});
