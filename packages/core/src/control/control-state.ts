/** What a controller keeps beside the fold: its proposals and what it saw of the platform. */
import type { HostPresence } from '@baobabdeck/types';
import { PersistentMap, PersistentSet } from '../persistent.js';

/** What the platform said of a host. */
export interface HostSighting {
  readonly presence: HostPresence;
  readonly bootedAt: Date;
}

/** Soft state of a controller. */
export interface ControlState {
  /** Time of the newest host list; null before the first. */
  readonly hostListAsOf: Date | null;
  readonly sightings: PersistentMap<string, HostSighting>;
  /** Hosts whose presence in the list may differ from what is recorded. */
  readonly unrecordedHostIds: PersistentSet<string>;
  /** Work in progress by host, with the time of the platform's view. */
  readonly usage: PersistentMap<string, { readonly asOf: Date; readonly running: number }>;
  /** Decisions that were sent and not yet read back, by what they decide, with the time at which to send again. */
  readonly proposed: PersistentMap<string, Date>;
  /** Since when each pool is short of slots. */
  readonly shortSince: PersistentMap<string, Date>;
  /** Hosts whose reboot this controller asked for, with the time. */
  readonly rebootAskedAt: PersistentMap<string, Date>;
}

/** Nothing proposed and nothing seen. */
export function emptyControlState(): ControlState {
  return {
    hostListAsOf: null,
    sightings: PersistentMap(),
    unrecordedHostIds: PersistentSet(),
    usage: PersistentMap(),
    proposed: PersistentMap(),
    shortSince: PersistentMap(),
    rebootAskedAt: PersistentMap(),
  };
}
