/** Soft state of a controller outside the fold: its pending proposals and its observations of the platform. */
import type { HostPresence } from '@baobabdeck/types';
import { PersistentMap, PersistentSet } from '../persistent.js';

/** Presence and boot time of a host, as last listed by the platform. */
export interface HostObservation {
  readonly presence: HostPresence;
  readonly bootedAt: Date;
}

/** Soft state of a controller. It is not stored and is rebuilt after a restart. */
export interface ControlState {
  /** Time of the newest host list; null before the first. */
  readonly hostListAsOf: Date | null;
  readonly hostObservations: PersistentMap<string, HostObservation>;
  /** Hosts whose presence in the list may differ from what is recorded. */
  readonly unrecordedHostIds: PersistentSet<string>;
  /** Running requests by host, with the time at which the platform counted them. */
  readonly usage: PersistentMap<string, { readonly asOf: Date; readonly running: number }>;
  /** Retry time of each decision that was appended but not yet read back, by subject of the decision. */
  readonly proposed: PersistentMap<string, Date>;
  /** Time since which each pool has been short of slots. */
  readonly shortSince: PersistentMap<string, Date>;
  /** Time at which this controller last requested the reboot of each host. */
  readonly rebootRequestedAt: PersistentMap<string, Date>;
}

/** Returns a state without proposals or observations. */
export function emptyControlState(): ControlState {
  return {
    hostListAsOf: null,
    hostObservations: PersistentMap(),
    unrecordedHostIds: PersistentSet(),
    usage: PersistentMap(),
    proposed: PersistentMap(),
    shortSince: PersistentMap(),
    rebootRequestedAt: PersistentMap(),
  };
}
