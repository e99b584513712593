/**
 * Detects mass ends: many workers that crash at about the same time, with a rack or a data centre. They are evidence
 * against no task.
 */
import { taskIdOf } from '../model/job.js';
import {
  QUARANTINE_CRASHES,
  updateQuarantine,
  type CountedTask,
  type MassEnd,
  type WorkerCrash,
} from '../state/quarantine-state.js';
import type { ServiceState, WorkerState } from '../state/service-state.js';
import { changeTask, findTask, markJobChanged } from '../state/tasks.js';
import { updateService, updateTask } from '../state/update.js';

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

/** Returns the workers that have not ended, except those on the hosts of some crashes, which may have restarted since. */
function aliveBeside(state: ServiceState, crashes: readonly WorkerCrash[]): readonly WorkerState[] {
  const crashedHostIds = new Set(crashes.map(({ hostId }) => hostId));
  return [...state.workers.values()].filter(
    ({ isTerminated, listing }) => !isTerminated && !crashedHostIds.has(listing.hostId),
  );
}

/** Returns whether recent crashes are a mass end. Crashes that a quarantined task explains do not make one. */
function isMassEnd(recent: readonly WorkerCrash[], alive: readonly WorkerState[]): boolean {
  const unexplained = recent.filter(({ isExplained }) => !isExplained);
  return (
    unexplained.length >= MINIMUM_WORKERS &&
    (unexplained.length > (recent.length + alive.length) * MINIMUM_SHARE ||
      isAllOfOnePlace(unexplained, alive, 'rack') ||
      isAllOfOnePlace(unexplained, alive, 'dataCentre'))
  );
}

function isContinued({ now, quarantine: { massEnd } }: ServiceState): boolean {
  return massEnd !== null && now - massEnd.at <= MASS_END_MILLISECONDS;
}

function mayBeMassEnd(state: ServiceState): boolean {
  const { massEnd } = state.quarantine;
  const isPaused = massEnd !== null && state.now - massEnd.at <= MASS_END_PAUSE_MILLISECONDS;
  return !isPaused || isContinued(state);
}

/** Returns whether a mass end includes a crash. Its quarantined task explains a crash better unless the rack is gone. */
function isIncluded({ isExplained, rack }: WorkerCrash, alive: readonly WorkerState[]): boolean {
  return !isExplained || alive.every(({ listing }) => listing.rack !== rack);
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

/** Undoes what a crash counted, except against tasks that the mass end has already excused for another crash. */
function excuse(state: ServiceState, crash: WorkerCrash, massEnd: MassEnd): ServiceState {
  const excusedTaskIds = new Set([...crash.taskIds].filter((taskId) => !massEnd.excusedTaskIds.has(taskId)));
  let next = state;
  for (const counted of crash.counted) {
    if (excusedTaskIds.has(taskIdOf(counted.key))) next = undoCount(next, counted);
  }
  const crashes = next.quarantine.crashes.set(crash.crashId, { ...crash, excusedTaskIds });
  return updateService(next, {
    quarantine: updateQuarantine(next.quarantine, {
      crashes,
      massEnd: {
        at: massEnd.at,
        excusedTaskIds: new Set([...massEnd.excusedTaskIds, ...excusedTaskIds]),
      },
    }),
  });
}

function beginMassEnd(state: ServiceState): MassEnd {
  const { massEnd } = state.quarantine;
  return massEnd !== null && isContinued(state) ? massEnd : { at: state.now, excusedTaskIds: new Set() };
}

/** Excuses the newest crashes if they are a mass end: what they counted against tasks is undone. */
export function excuseMassEnds(state: ServiceState): ServiceState {
  if (!state.quarantine.hasNewCrash) return state;
  const searched = updateService(state, {
    quarantine: updateQuarantine(state.quarantine, { hasNewCrash: false }),
  });
  const recent = [...state.quarantine.crashes.values()].filter(
    ({ at }) => at >= state.now - MASS_END_MILLISECONDS,
  );
  const alive = aliveBeside(state, recent);
  if (!mayBeMassEnd(state) || !isMassEnd(recent, alive)) return searched;
  let next = searched;
  let massEnd = beginMassEnd(state);
  for (const crash of recent) {
    if (crash.excusedTaskIds.size === 0 && isIncluded(crash, alive)) {
      next = excuse(next, crash, massEnd);
      massEnd = next.quarantine.massEnd ?? massEnd;
    }
  }
  return next;
}
