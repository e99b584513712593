/** Room on a worker and what a task needs of it. */

/** An amount of each resource. */
export interface Resources {
  /** Thousandths of a core. */
  readonly milliCores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** Nothing of anything. */
export const NO_RESOURCES: Resources = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/** The sum of both. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: left.milliCores + right.milliCores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** What is left of `left` without `right`. */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: left.milliCores - right.milliCores,
    memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** The lesser of both, resource by resource. */
export function minimumResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryMegabytes: Math.min(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}

/** The greater of both, resource by resource. */
export function maximumResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: Math.max(left.milliCores, right.milliCores),
    memoryMegabytes: Math.max(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

/** Whether `room` holds `needs`. */
export function fits(needs: Resources, room: Resources): boolean {
  return (
    needs.milliCores <= room.milliCores &&
    needs.memoryMegabytes <= room.memoryMegabytes &&
    needs.accelerators <= room.accelerators
  );
}

/** How many times `needs` go into `room`. */
export function countFitting(needs: Resources, room: Resources): number {
  const times = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor(free / need));
  const fitting = Math.min(
    times(needs.milliCores, room.milliCores),
    times(needs.memoryMegabytes, room.memoryMegabytes),
    times(needs.accelerators, room.accelerators),
  );
  return Math.max(0, fitting);
}
