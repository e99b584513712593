/**
 * Detects mass ends: many workers that crash at about the same time, with a rack or a data centre. They are evidence
 * against no task.
 */
import { taskIdOf } from '../model/job.js';
import {
  QUARANTINE_CRASHES,
  updateQuarantine,
  type CountedTask,
  type QuarantineState,
  type WorkerCrash,
} from './quarantine-state.js';
import type { ServiceState, WorkerState } from './state.js';
import { changeTask, findTask, markJobChanged } from './tasks.js';
import { updateService, updateTask } from './update.js';

/** Time within which the workers of a mass end crash. */
export const MASS_END_MILLISECONDS = 1_000;

const MINIMUM_WORKERS = 3;
const MINIMUM_SHARE = 1 / 3;

/**
 * Time after a mass end in which no other one is detected: in a small pool, several tasks that crash their workers would
 * otherwise look like one mass end after the other.
 */
const MASS_END_PAUSE_MILLISECONDS = 10_000;

function isAllOfOnePlace(
  crashes: readonly WorkerCrash[],
  alive: readonly WorkerState[],
  place: 'rack' | 'dataCentre',
): boolean {
  const places = new Set(crashes.map((crash) => crash[place]));
  return [...places].some((name) => {
    const crashed = crashes.filter((crash) => crash[place] === name);
    return crashed.length >= MINIMUM_WORKERS && alive.every(({ listing }) => listing[place] !== name);
  });
}

function isMassEnd(state: ServiceState, crashes: readonly WorkerCrash[]): boolean {
  const crashedIds = new Set(crashes.map(({ workerId }) => workerId));
  if (crashedIds.size < MINIMUM_WORKERS) return false;
  const alive = [...state.workers.values()].filter(
    ({ isTerminated, listing }) => !isTerminated && !crashedIds.has(listing.workerId),
  );
  return (
    crashedIds.size > (crashedIds.size + alive.length) * MINIMUM_SHARE ||
    isAllOfOnePlace(crashes, alive, 'rack') ||
    isAllOfOnePlace(crashes, alive, 'dataCentre')
  );
}

function mayBeMassEnd({ now, quarantine: { massEndAt } }: ServiceState): boolean {
  const sinceLast = massEndAt === null ? Infinity : now - massEndAt;
  return sinceLast <= MASS_END_MILLISECONDS || sinceLast > MASS_END_PAUSE_MILLISECONDS;
}

function undoCount(state: ServiceState, { key, count, causedQuarantine }: CountedTask): ServiceState {
  const before = findTask(state, key);
  if (before === null || before.isDone) return state;
  const workerCrashes = Math.max(0, before.workerCrashes - count);
  const isCleared = causedQuarantine && workerCrashes < QUARANTINE_CRASHES;
  const isQuarantined = before.isQuarantined && !isCleared;
  const changed = changeTask(state, key, (task) => updateTask(task, { workerCrashes, isQuarantined }));
  const job = changed.jobs.get(key.jobId);
  const marked = job === undefined ? changed : markJobChanged(changed, job);
  const { unloggedTaskIds, verdicts } = marked.quarantine;
  const taskId = taskIdOf(key);
  return updateService(marked, {
    quarantine: updateQuarantine(marked.quarantine, {
      unloggedTaskIds: isQuarantined ? unloggedTaskIds : unloggedTaskIds.remove(taskId),
      verdicts: verdicts.remove(taskId),
      isStale: true,
    }),
  });
}

function excuse(state: ServiceState, crash: WorkerCrash): ServiceState {
  let next = state;
  for (const counted of crash.counted) next = undoCount(next, counted);
  const excused: WorkerCrash = { ...crash, counted: [], isExcused: true };
  const crashes: QuarantineState['crashes'] = next.quarantine.crashes.set(crash.crashId, excused);
  return updateService(next, { quarantine: updateQuarantine(next.quarantine, { crashes }) });
}

/** Excuses the newest crashes if they are a mass end: what they counted against tasks is undone. */
export function excuseMassEnds(state: ServiceState): ServiceState {
  if (!state.quarantine.hasNewCrash) return state;
  let next = updateService(state, {
    quarantine: updateQuarantine(state.quarantine, { hasNewCrash: false }),
  });
  const recent = [...state.quarantine.crashes.values()].filter(
    ({ at }) => at >= state.now - MASS_END_MILLISECONDS,
  );
  if (!mayBeMassEnd(state) || !isMassEnd(state, recent)) return next;
  for (const crash of recent) {
    if (!crash.isExcused) next = excuse(next, crash);
  }
  const massEndAt = isContinued(state) ? state.quarantine.massEndAt : state.now;
  return updateService(next, { quarantine: updateQuarantine(next.quarantine, { massEndAt }) });
}

function isContinued({ now, quarantine: { massEndAt } }: ServiceState): boolean {
  return massEndAt !== null && now - massEndAt <= MASS_END_MILLISECONDS;
}
