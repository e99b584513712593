/** Keeps the model of interference up to date and logs what it finds. */
import { dropOldFindings, learnSample, type Learned, type Sample } from '../decide/interference/learn.js';
import { durationSampleOf, tailSamplesOf } from '../decide/interference/observe.js';
import type { TaskKey } from '../model/job.js';
import type { RunningReport } from '../model/worker.js';
import type { ServiceStep } from '../state/effect.js';
import type { Run, ServiceState } from '../state/service-state.js';
import { findTask } from '../state/tasks.js';
import { updateService } from '../state/update.js';

const PERCENT = 100;

function* applyLearned(state: ServiceState, { interference, changes }: Learned): ServiceStep<ServiceState> {
  for (const { pair, kind } of changes) {
    yield {
      kind: 'log',
      decision: kind === 'found' ? 'interferenceFound' : 'interferenceDropped',
      fields: {
        slowed: pair.slowed,
        beside: pair.beside,
        slowdownPercent: Math.round((Math.exp(pair.effect) - 1) * PERCENT),
        samples: pair.samples,
      },
    };
  }
  return interference === state.interference ? state : updateService(state, { interference });
}

function* learn(state: ServiceState, samples: readonly Sample[]): ServiceStep<ServiceState> {
  let next = state;
  for (const sample of samples) {
    next = yield* applyLearned(next, learnSample(next.interference, sample, next.now));
  }
  return next;
}

/** Learns from the tails of the serving tasks in a report. `previousReportAt` is when the report before it came. */
export function* learnFromReport(
  state: ServiceState,
  workerId: string,
  running: readonly RunningReport[],
  previousReportAt: number | null,
): ServiceStep<ServiceState> {
  const worker = state.workers.get(workerId);
  if (worker === undefined) return state;
  return yield* learn(state, tailSamplesOf(state, worker, running, previousReportAt));
}

/** Learns from the duration of a run that is done and is still recorded on its worker. */
export function* learnFromEnd(state: ServiceState, key: TaskKey, run: Run): ServiceStep<ServiceState> {
  const task = findTask(state, key);
  const sample = task === null ? null : durationSampleOf(state, key, task, run);
  return sample === null ? state : yield* learn(state, [sample]);
}

/** Time between two records of the model. */
const RECORD_INTERVAL_MILLISECONDS = 5_000;

/** Marks the model to be recorded if it has changed what it means for the placement of tasks. */
function markInterferenceDue(state: ServiceState): ServiceState {
  const { recordedInterference: recorded, interference, now } = state;
  const isChanged = interference.conflicts !== recorded.conflicts;
  if (!isChanged || recorded.isDue || now - recorded.at < RECORD_INTERVAL_MILLISECONDS) return state;
  return updateService(state, { recordedInterference: { ...recorded, isDue: true } });
}

/** Drops findings that are too old, and has the model recorded if it has changed. */
export function* reviewInterference(state: ServiceState): ServiceStep<ServiceState> {
  return markInterferenceDue(yield* applyLearned(state, dropOldFindings(state.interference, state.now)));
}
