/** Rule on starts on workers that start whatever they are told to start. */
import { taskIdOf, type Resources } from '@baobabdeck/scheduling';
import { sumOfNeeds } from './job-plans.js';
import type { ModelWorker } from './model-worker-types.js';
import type { ObservedStart, WorkerObserver } from './observer.js';
import type { RefereeParts } from './referee-types.js';
import type { Sightings } from './sightings.js';

/** Time between two reports of a worker about itself. */
const REPORT_INTERVAL_MILLISECONDS = 1_500;

/** Time for which a worker may still be filled up to the capacity that it had. */
const FORMER_CAPACITY_MILLISECONDS = 3_000 + REPORT_INTERVAL_MILLISECONDS;

/** Observations that the rule receives. */
export type CapacityRules = Pick<WorkerObserver, 'onStart' | 'onCapacityChange'>;

/** A capacity that a worker had. */
interface FormerCapacity {
  readonly capacity: Resources;
  readonly until: number;
}

/** The larger of each resource. */
function largestOf(capacities: readonly Resources[]): Resources {
  return {
    milliCores: Math.max(...capacities.map(({ milliCores }) => milliCores)),
    memoryMegabytes: Math.max(...capacities.map(({ memoryMegabytes }) => memoryMegabytes)),
    accelerators: Math.max(...capacities.map(({ accelerators }) => accelerators)),
  };
}

/** Whether a start that adds these needs brings a worker over its capacity; `used` includes them. */
function isBroughtOver(needs: Resources, used: Resources, capacity: Resources): boolean {
  return (
    (needs.milliCores > 0 && used.milliCores > capacity.milliCores) ||
    (needs.memoryMegabytes > 0 && used.memoryMegabytes > capacity.memoryMegabytes) ||
    (needs.accelerators > 0 && used.accelerators > capacity.accelerators)
  );
}

/** Creates the rule. */
export function createCapacityRules({ time, plans }: RefereeParts, { report }: Sightings): CapacityRules {
  const former = new Map<ModelWorker, FormerCapacity[]>();

  const onCapacityChange = (worker: ModelWorker): void => {
    const before = former.get(worker) ?? [];
    former.set(worker, [...before, { capacity: worker.capacity(), until: time.now() }]);
  };

  /** The capacity that a start may count on. An order that comes late may count on any that the worker had. */
  const countedCapacity = ({ worker, isLate }: ObservedStart): Resources => {
    const since = isLate ? 0 : time.now() - FORMER_CAPACITY_MILLISECONDS;
    const counted = (former.get(worker) ?? []).filter(({ until }) => until >= since);
    return largestOf([worker.capacity(), ...counted.map(({ capacity }) => capacity)]);
  };

  /** What is being stopped still counts. */
  const onStart = (started: ObservedStart): void => {
    const { worker, task } = started;
    if (worker.guardsCapacity) return;
    const used = sumOfNeeds(
      plans,
      worker.runs().map((run) => run.task),
    );
    const counted = countedCapacity(started);
    if (isBroughtOver(sumOfNeeds(plans, [task]), used, counted)) {
      const { workerId } = worker.listing();
      const usage = `${used.milliCores} of ${counted.milliCores} milli-cores`;
      const memory = `${used.memoryMegabytes} of ${counted.memoryMegabytes} MB`;
      report('capacity-kept', `${taskIdOf(task)} brings ${workerId} to ${usage}, ${memory}`);
    }
  };

  return { onStart, onCapacityChange };
}
