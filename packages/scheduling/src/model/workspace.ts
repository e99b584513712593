/** Workspaces: groups of callers with a common share of the capacity and a common limit on what they run. */

/** The most that a workspace may have running, by resource; null for no limit. */
export interface ResourceCap {
  /** Thousandths of a core. */
  readonly milliCores: number | null;
  readonly memoryMegabytes: number | null;
  readonly accelerators: number | null;
}

/** No limit on any resource. */
export const NO_CAP: ResourceCap = { milliCores: null, memoryMegabytes: null, accelerators: null };
