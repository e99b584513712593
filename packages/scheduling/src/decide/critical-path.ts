/** Estimates the longest chain of work of a job: what it takes where every task finds a worker at once. */
import type { StepRequest } from '../model/job.js';

/** The longest chain of estimated run times in milliseconds; lasting steps count as nothing. */
export function estimateCriticalPathMilliseconds(
  steps: readonly StepRequest[],
  remoteFactor: number,
): number {
  const ends: number[] = [];
  for (const step of steps) {
    const startsAfter = Math.max(0, ...step.after.map((earlier) => ends[earlier] ?? 0));
    const away = step.prefersOneRack && step.taskCount > 1 ? Math.sqrt(remoteFactor) : 1;
    ends.push(startsAfter + (step.isLasting ? 0 : step.estimatedMilliseconds * away));
  }
  return Math.max(0, ...ends);
}

/** Milliseconds of estimated work that are left after the steps that are done. */
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
