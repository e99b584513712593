/** Reports lasting tasks that have waited for long, with the workers that have capacity for them and may not take them. */
import { fits, type Resources } from '../../model/resources.js';
import { reservedResourcesOf } from '../../model/step-needs.js';
import type { ServiceStep } from '../../state/effect.js';
import type { ServiceState, WorkerState } from '../../state/service-state.js';
import { freeCapacityOf, hasRequiredLabel, isEligible } from './eligibility.js';
import {
  findWaitingStep,
  longestWaitMilliseconds,
  orderWaitingSteps,
  type WaitingStep,
} from '../order/waiting-order.js';

/** Time that a lasting task must have waited to be reported. */
const REPORTED_WAIT_MILLISECONDS = 3_000;

/** Number of workers that could hold a task, by the reason for which they may not take it. */
interface BlockedCapacity {
  readonly eligibleWorkers: number;
  readonly leavingWorkers: number;
  readonly releasedWorkers: number;
  readonly coolingDownWorkers: number;
  readonly unreachableWorkers: number;
}

function countBlockedCapacity(
  state: ServiceState,
  { request }: WaitingStep,
  needs: Resources,
): BlockedCapacity {
  const holders = [...state.workers.values()].filter(
    (worker) => fits(needs, freeCapacityOf(worker)) && hasRequiredLabel(request, worker),
  );
  const count = (matches: (worker: WorkerState) => boolean): number => holders.filter(matches).length;
  return {
    eligibleWorkers: count((worker) => isEligible(state, worker)),
    leavingWorkers: count(({ drainState, listing }) => drainState.kind === 'leaving' || listing.isDraining),
    releasedWorkers: count(
      ({ listing }) => state.releasedWorkers.get(listing.workerId) === listing.incarnation,
    ),
    coolingDownWorkers: count(({ cooldownUntil }) => cooldownUntil > state.now),
    unreachableWorkers: count(
      ({ isTerminated, silentSince, hasAcknowledgedEpoch }) =>
        isTerminated || silentSince !== null || !hasAcknowledgedEpoch,
    ),
  };
}

/** Logs each step with lasting tasks that have waited for longer than `REPORTED_WAIT_MILLISECONDS`. */
export function* reportBlockedTasks(state: ServiceState): ServiceStep<void> {
  for (const [key] of orderWaitingSteps(state)) {
    if (!key.isLasting) return;
    const waiting = findWaitingStep(state, key);
    const waitedMilliseconds = waiting === null ? 0 : longestWaitMilliseconds(state, waiting);
    if (waiting !== null && waitedMilliseconds > REPORTED_WAIT_MILLISECONDS) {
      yield {
        kind: 'log',
        decision: 'lastingTaskWaits',
        fields: {
          jobId: key.jobId,
          step: key.step,
          waitingTasks: waiting.step.waitingCount,
          waitedMilliseconds: Math.round(waitedMilliseconds),
          ...countBlockedCapacity(state, waiting, reservedResourcesOf(waiting.request)),
        },
      };
    }
  }
}
