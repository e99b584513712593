/** Measures the tails of the serving tasks on one worker, which filling tasks beside them make longer. */
import { taskIdOf, type StepRequest } from '@baobabdeck/scheduling';
import { stepOfTask, type JobPlans } from './job-plans.js';
import type { ModelRun, ModelWorker } from './model-worker-types.js';
import type { WorkerObserver } from './observer.js';
import type { VirtualTime } from './virtual-time.js';

const SAMPLE_MILLISECONDS = 100;

/** Samples in the time over which a tail is measured. */
const SAMPLES_PER_WINDOW = 5;

/** How tasks that serve requests are disturbed. */
export interface Disturbance {
  /** Tail of a serving task without filling tasks, in milliseconds. */
  readonly quietTail: (step: StepRequest) => number;
  /** What one filling task at full speed adds to it, in milliseconds. */
  readonly harm: (serving: StepRequest, filling: StepRequest) => number;
}

/** What a meter is made of. */
export interface TailMeterParts {
  readonly time: VirtualTime;
  readonly plans: JobPlans;
  readonly disturbance: Disturbance;
  readonly observer: WorkerObserver;
  readonly worker: ModelWorker;
}

/** A meter of tails. */
export interface TailMeter {
  /** Tail of a run over the last half second; null for a run that serves nothing or has just begun. */
  readonly tailOf: (run: ModelRun) => number | null;
}

/** Creates a meter, which samples until the worker's life ends. */
export function createTailMeter(parts: TailMeterParts): TailMeter {
  const { time, plans, disturbance, observer, worker } = parts;
  const samples = new Map<string, number[]>();
  const idOf = ({ task, run }: ModelRun): string => `${taskIdOf(task)}/${run}`;

  const longest = (run: ModelRun): number | null => {
    const measured = samples.get(idOf(run)) ?? [];
    return measured.length === 0 ? null : Math.max(...measured);
  };

  const sampleRun = (run: ModelRun, serving: StepRequest, target: number): void => {
    const filling = worker.runs().flatMap((other) => {
      const step = stepOfTask(plans, other.task);
      return step?.usesSpareCapacity === true && other.workingSince !== null && other.share > 0
        ? [{ step, share: other.share }]
        : [];
    });
    const quietTail = disturbance.quietTail(serving);
    const added = filling.reduce((sum, { step, share }) => sum + disturbance.harm(serving, step) * share, 0);
    samples.set(idOf(run), [...(samples.get(idOf(run)) ?? []), quietTail + added].slice(-SAMPLES_PER_WINDOW));
    const tail = longest(run) ?? 0;
    const hasWorkingFillers = filling.length > 0;
    observer.onTail({ task: run.task, run: run.run, tail, quietTail, target, hasWorkingFillers });
  };

  const sample = (): void => {
    if (!worker.isUp()) return;
    const runs = worker.runs();
    const known = new Set(runs.map(idOf));
    [...samples.keys()].filter((id) => !known.has(id)).forEach((id) => samples.delete(id));
    runs.forEach((run) => {
      const step = stepOfTask(plans, run.task);
      const target = step?.tailTargetMilliseconds ?? null;
      if (step !== null && target !== null && run.workingSince !== null) sampleRun(run, step, target);
    });
    time.after(SAMPLE_MILLISECONDS, sample);
  };

  time.after(SAMPLE_MILLISECONDS, sample);
  return { tailOf: longest };
}
