/** What one wide job costs its owner until all of its tasks are done: memory, journal and processor time. */
import { encodeRecord } from '@baobabdeck/scheduler';
import type { ServiceRecord } from '@baobabdeck/scheduling';
import { createCrowdedService, type CrowdedEvent } from '@baobabdeck/scheduling/crowded-service';
import { createWideService } from '@baobabdeck/scheduling/wide-service';
import { figure, selectPolicies, type Experiment, type PolicyResult } from '../experiment.js';
import { measureEventMicroseconds } from './event-cost.js';

const TASK_COUNTS = [100, 1_000, 10_000, 100_000];
const POLICIES = TASK_COUNTS.map((count) => `${count} tasks`);

/** Steps between two readings of the heap, each of which collects garbage first. */
const STEPS_PER_READING = 10;

const BYTES_PER_MEBIBYTE = 1_048_576;

const FEW_TASKS = 10;

/** Events whose time is compared with that beside hardly any waiting task. */
const EVENTS: readonly CrowdedEvent[] = ['a tick with an empty read', 'a report with one end'];

/** What a job has cost from its acceptance to its end. */
interface JobCost {
  readonly peakHeapBytes: number;
  readonly journalBytes: number;
  readonly processorMicroseconds: number;
}

/** Returns the bytes of the heap that are in use after a collection. */
function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function bytesOf(records: readonly ServiceRecord[]): number {
  const keyed = records.flatMap((record) => encodeRecord(record));
  return keyed.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0);
}

/** Returns the result of some work, and the processor time that it took. */
function measureProcessor<Result>(work: () => Result): readonly [result: Result, microseconds: number] {
  const before = process.cpuUsage();
  const result = work();
  const { user, system } = process.cpuUsage(before);
  return [result, user + system];
}

function measureJob(taskCount: number): JobCost {
  const emptyHeapBytes = readHeapBytes();
  let journalBytes = 0;
  const onStored = (records: readonly ServiceRecord[]): void => {
    journalBytes += bytesOf(records);
  };
  const [service, acceptMicroseconds] = measureProcessor(() => createWideService(taskCount, onStored));
  let processorMicroseconds = acceptMicroseconds;
  let peakHeapBytes = 0;
  let isActive = true;
  for (let steps = 0; isActive; steps += 1) {
    if (steps % STEPS_PER_READING === 0) peakHeapBytes = Math.max(peakHeapBytes, readHeapBytes());
    const [goesOn, microseconds] = measureProcessor(service.step);
    processorMicroseconds += microseconds;
    isActive = goesOn;
  }
  return { peakHeapBytes: peakHeapBytes - emptyHeapBytes, journalBytes, processorMicroseconds };
}

/** Returns how many times as long an event takes while the tasks of one job wait as while hardly any task waits. */
function measureEventRatio(taskCount: number, event: CrowdedEvent): number {
  const waiting = measureEventMicroseconds(createCrowdedService(taskCount, taskCount), event);
  return waiting / measureEventMicroseconds(createCrowdedService(FEW_TASKS), event);
}

function measureRow(taskCount: number): PolicyResult {
  const { peakHeapBytes, journalBytes, processorMicroseconds } = measureJob(taskCount);
  return {
    user: '50 workers of 16 cores, one job',
    policy: `${taskCount} tasks`,
    figures: [
      figure('heap at its peak', peakHeapBytes / BYTES_PER_MEBIBYTE, 'MiB'),
      figure('journal', journalBytes / taskCount, 'bytes a task'),
      figure('processor', processorMicroseconds / taskCount, 'us a task'),
      ...EVENTS.map((event) => figure(`${event}, ratio`, measureEventRatio(taskCount, event), '')),
    ],
  };
}

/** The experiment. */
export const weight: Experiment = {
  name: 'weight',
  description: 'heap, journal bytes and processor time of one wide job until it is completed',
  policies: POLICIES,
  run: (options) => {
    const selected = selectPolicies(options, POLICIES);
    return Promise.resolve(
      TASK_COUNTS.filter((count) => selected.includes(`${count} tasks`)).map(measureRow),
    );
  },
};
