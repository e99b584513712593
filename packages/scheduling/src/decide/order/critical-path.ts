/** Estimates the critical path of a job: its duration if every task gets a worker at once. */
import type { StepRequest } from '../../model/job.js';

/** Returns the critical path in milliseconds by the caller's estimates; lasting steps count as 0. */
export function estimateCriticalPathMilliseconds(
  steps: readonly StepRequest[],
  remoteFactor: number,
): number {
  const ends: number[] = [];
  for (const step of steps) {
    const startsAfter = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    const remoteSlowdown = step.prefersOneRack && step.taskCount > 1 ? Math.sqrt(remoteFactor) : 1;
    ends.push(startsAfter + (step.isLasting ? 0 : step.estimatedMilliseconds * remoteSlowdown));
  }
  return Math.max(0, ...ends);
}

/** Returns the critical path in milliseconds over the steps that are not done; lasting steps count as 0. */
export function estimateRemainingMilliseconds(
  steps: readonly StepRequest[],
  isStepDone: (step: number) => boolean,
): number {
  const ends: number[] = [];
  for (const [index, step] of steps.entries()) {
    const startsAfter = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    ends.push(startsAfter + (step.isLasting || isStepDone(index) ? 0 : step.estimatedMilliseconds));
  }
  return Math.max(0, ...ends);
}
