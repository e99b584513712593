/** Takes samples from what workers report. */
import { taskIdOf, type TaskKey } from '../../model/job.js';
import { stepRequestOf } from '../../model/step-needs.js';
import type { RunningReport } from '../../model/worker.js';
import type { ImageUse, Run, ServiceState, TaskState, WorkerState } from '../../state/service-state.js';
import type { Neighbour } from './estimate.js';
import type { Sample } from './learn.js';
import { FULL_PACE_PERCENT, isPaceSettled } from './pacing.js';

/** Time over which workers measure a tail; a worker's tails are sampled once in it. */
const TAIL_WINDOW_MILLISECONDS = 500;

/** Time between two samples of run durations of one image, which bounds their cost. */
const DURATION_SAMPLE_INTERVAL_MILLISECONDS = 20;

function shareOf({ runs, fillingRuns }: ImageUse, fillingShare: number): number {
  return runs > fillingRuns ? 1 : fillingShare;
}

/** Returns the share of full speed at which the filling tasks of a worker work, from 0 to 1. */
function fillingShareOf({ pacing }: WorkerState): number {
  return (pacing?.percent ?? FULL_PACE_PERCENT) / FULL_PACE_PERCENT;
}

/** Returns the images beside one run of an image on a worker, without those whose tasks are paused. */
function neighboursOf({ images }: WorkerState, image: string, fillingShare: number): readonly Neighbour[] {
  return [...images].flatMap(([other, use]) => {
    const beside = other === image ? { ...use, runs: use.runs - 1 } : use;
    const share = beside.runs <= 0 ? 0 : shareOf(beside, fillingShare);
    return share > 0 ? [{ image: other, share }] : [];
  });
}

/** Returns whether a report is the first of its worker in a window over which tails are measured. */
function isTailSampleDue(state: ServiceState, previousReportAt: number | null): boolean {
  const windowOf = (at: number): number => Math.floor(at / TAIL_WINDOW_MILLISECONDS);
  return windowOf(state.now) !== windowOf(previousReportAt ?? -Infinity);
}

function tailSampleOf(
  state: ServiceState,
  worker: WorkerState,
  { task, load }: RunningReport,
): Sample | null {
  const job = state.jobs.get(task.jobId);
  const request = job?.request.steps[task.step];
  const target = request?.tailTargetMilliseconds ?? null;
  if (request === undefined || request.image === null || target === null || load === null) return null;
  const { image } = request;
  const neighbours = neighboursOf(worker, image, fillingShareOf(worker));
  return { image, isServing: true, measure: load / target, neighbours };
}

/** Returns a sample of each serving task in a report, if one is due. */
export function tailSamplesOf(
  state: ServiceState,
  worker: WorkerState,
  running: readonly RunningReport[],
  previousReportAt: number | null,
): readonly Sample[] {
  const { servingTaskIds } = worker;
  if (servingTaskIds.isEmpty() || !isTailSampleDue(state, previousReportAt)) return [];
  if (!isPaceSettled(worker.pacing, state.now)) return [];
  const rows = running.filter(({ task, load }) => load !== null && servingTaskIds.has(taskIdOf(task)));
  return rows.flatMap((row) => tailSampleOf(state, worker, row) ?? []);
}

/**
 * Returns a sample of a run that is done. Runs whose duration other things change as well give none: members of gangs,
 * runs that resumed from a checkpoint, filling tasks, and runs away from their data.
 */
export function durationSampleOf(
  state: ServiceState,
  key: TaskKey,
  task: TaskState,
  run: Run,
): Sample | null {
  const job = state.jobs.get(key.jobId);
  const worker = state.workers.get(run.workerId);
  if (job === undefined || worker === undefined || run.startedAt === null) return null;
  const request = stepRequestOf(job.request, key.step);
  const { image, isGang, isLasting, usesSpareCapacity, rackOfData, prefersOneRack } = request;
  const isDisturbed = isGang || isLasting || usesSpareCapacity || prefersOneRack || task.checkpoint !== '';
  const isNearData = rackOfData === null || rackOfData === worker.listing.rack;
  if (image === null || isDisturbed || !isNearData || request.tailTargetMilliseconds !== null) return null;
  const sampledAt = state.interference.baselines.get(image)?.updatedAt ?? -Infinity;
  if (state.now - sampledAt < DURATION_SAMPLE_INTERVAL_MILLISECONDS) return null;
  const measure = state.now - run.startedAt;
  const neighbours = neighboursOf(worker, image, fillingShareOf(worker));
  return { image, isServing: false, measure, neighbours };
}
