/** Amounts of resources: the capacity of workers and the needs of tasks. */

/** An amount of each resource. */
export interface Resources {
  /** Thousandths of a core. */
  readonly milliCores: number;
  readonly memoryMegabytes: number;
  readonly accelerators: number;
}

/** Zero of each resource. */
export const NO_RESOURCES: Resources = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Returns the sum per resource. */
export function addResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: left.milliCores + right.milliCores,
    memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
    accelerators: left.accelerators + right.accelerators,
  };
}

/** Returns `left` minus `right` per resource. */
export function subtractResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: left.milliCores - right.milliCores,
    memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
    accelerators: left.accelerators - right.accelerators,
  };
}

/** Returns the minimum per resource. */
export function minimumResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: Math.min(left.milliCores, right.milliCores),
    memoryMegabytes: Math.min(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.min(left.accelerators, right.accelerators),
  };
}

/** Returns the maximum per resource. */
export function maximumResources(left: Resources, right: Resources): Resources {
  return {
    milliCores: Math.max(left.milliCores, right.milliCores),
    memoryMegabytes: Math.max(left.memoryMegabytes, right.memoryMegabytes),
    accelerators: Math.max(left.accelerators, right.accelerators),
  };
}

/** Returns whether `needs` fit into `capacity`. */
export function fits(needs: Resources, capacity: Resources): boolean {
  return (
    needs.milliCores <= capacity.milliCores &&
    needs.memoryMegabytes <= capacity.memoryMegabytes &&
    needs.accelerators <= capacity.accelerators
  );
}

/** Returns how many times `needs` fit into `capacity`; Infinity if `needs` are zero. */
export function countFitting(needs: Resources, capacity: Resources): number {
  const times = (need: number, free: number): number => (need <= 0 ? Infinity : Math.floor(free / need));
  const fitting = Math.min(
    times(needs.milliCores, capacity.milliCores),
    times(needs.memoryMegabytes, capacity.memoryMegabytes),
    times(needs.accelerators, capacity.accelerators),
  );
  return Math.max(0, fitting);
}

/** Returns an amount of each resource, `times` times. */
export function multiplyResources(amount: Resources, times: number): Resources {
  return {
    milliCores: amount.milliCores * times,
    memoryMegabytes: amount.memoryMegabytes * times,
    accelerators: amount.accelerators * times,
  };
}
