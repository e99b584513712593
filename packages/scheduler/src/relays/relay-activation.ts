/** Decides whether an owner uses relays, by the load of its process, with hysteresis. */

/** Load of a process over about the last second. */
export interface ProcessLoad {
  /** Share of the time in which the event loop was busy, 0 to 1. */
  readonly busyShare: number;
  /** By how much timers fired late, in milliseconds. */
  readonly lateMilliseconds: number;
}

/** Whether relays are used, and since when the load has called for a change. */
export interface RelayActivation {
  readonly isOn: boolean;
  readonly changeDueSince: number | null;
}

/** No relays. */
export const RELAYS_OFF: RelayActivation = { isOn: false, changeDueSince: null };

/** Load from which a process is short of processor. */
const SHORT_BUSY_SHARE = 0.7;
const SHORT_LATE_MILLISECONDS = 80;

/** Load up to which a process has spare processor. Below half of the above, since relays take up to half of the load. */
const SPARE_BUSY_SHARE = 0.3;
const SPARE_LATE_MILLISECONDS = 20;

/** Time for which a process must be short of processor, so that a single long event turns nothing on. */
const TURN_ON_MILLISECONDS = 400;

/** Time for which a process must have spare processor; long, since bursts follow each other. */
const TURN_OFF_MILLISECONDS = 5_000;

/** Whether a process is short of processor. */
export function isShort({ busyShare, lateMilliseconds }: ProcessLoad): boolean {
  return busyShare >= SHORT_BUSY_SHARE || lateMilliseconds >= SHORT_LATE_MILLISECONDS;
}

function isSpare({ busyShare, lateMilliseconds }: ProcessLoad): boolean {
  return busyShare <= SPARE_BUSY_SHARE && lateMilliseconds <= SPARE_LATE_MILLISECONDS;
}

/** Returns the activation after a sample of the load. */
export function updateActivation(before: RelayActivation, load: ProcessLoad, now: number): RelayActivation {
  const isChangeDue = before.isOn ? isSpare(load) : isShort(load);
  if (!isChangeDue) return before.changeDueSince === null ? before : { ...before, changeDueSince: null };
  const since = before.changeDueSince ?? now;
  const delay = before.isOn ? TURN_OFF_MILLISECONDS : TURN_ON_MILLISECONDS;
  if (now - since < delay) return { ...before, changeDueSince: since };
  return { isOn: !before.isOn, changeDueSince: null };
}
