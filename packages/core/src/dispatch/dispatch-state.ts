/** What the dispatcher of a pool keeps: which slots are in use, by whom, and who waits. */
import type { CapabilityNeed, SlotRequest, WorkClass } from '@baobabdeck/types';
import {
  PersistentList,
  PersistentMap,
  PersistentOrderedMap,
  PersistentOrderedSet,
  PersistentSet,
} from '../persistent.js';

/** A slot in use. */
export interface Grant {
  readonly slotRequestId: string;
  /** The gateway that uses the slot. */
  readonly holder: string;
  readonly hostId: string;
  readonly caller: string;
  readonly workKind: string;
  readonly workClass: WorkClass;
  readonly longWorkThresholdMilliseconds: number;
  readonly grantedAt: Date;
  /** Since when nobody can tell whether the work still runs; null while its holder is heard. */
  readonly unsettledSince: Date | null;
  /** When an unsettled slot is taken to be free without word from the platform; null while its holder is heard. */
  readonly settleBy: Date | null;
  /** Has run longer than its threshold, and was counted for its kind as such. */
  readonly seenLong: boolean;
}

/** How a host has answered lately. */
export interface HostHealth {
  readonly consecutiveFailures: number;
  readonly ejections: number;
  /** Until when the host gets no work; null when it is not ejected. */
  readonly ejectedUntil: Date | null;
  /** Back on trial: one slot until it answers well. */
  readonly probing: boolean;
}

/** A host's slots as the dispatcher sees them. */
export interface HostLoad {
  readonly hardware: string;
  /** In service and not shown as failed or leaving. */
  readonly routable: boolean;
  readonly busy: number;
  /** Slots that may be used at once; fewer than configured while the host refuses work. */
  readonly slotLimit: number;
  readonly health: HostHealth;
}

/** Hosts by their number of free slots; index 0 stays empty. */
export type FreeBuckets = PersistentList<PersistentOrderedSet<string>>;

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  readonly holder: string;
  readonly lane: string;
  readonly arrivedAt: Date;
  readonly deadlineAt: Date;
}

/** Requests with the same needs and class, fair between their callers. */
export interface Lane {
  readonly isLong: boolean;
  readonly needs: readonly CapabilityNeed[];
  /** Callers in the order of their turns, each with its requests, oldest first. */
  readonly callers: PersistentOrderedMap<string, PersistentList<string>>;
}

/** What was seen of one kind of work. */
export interface WorkKindRecord {
  /** Moving share of runs that were longer than the threshold, 0 to 1; null before a whole run was seen. */
  readonly longShare: number | null;
  /** Whole runs that were seen. */
  readonly runs: number;
  /** Hosts on which the kind failed the last time that it ran there. */
  readonly failingHostIds: PersistentSet<string>;
}

/** What the pool's slots are asked for, as moving figures. */
export interface Demand {
  /** Requests since the last measurement. */
  readonly arrivals: number;
  readonly measuredAt: Date | null;
  readonly meanRunMilliseconds: number;
  /** Slots that the arrivals keep busy. */
  readonly offeredSlots: number;
}

/** What the platform reported of a host with unsettled slots, until it can be judged. */
export interface PendingReport {
  readonly asOf: Date;
  readonly running: number;
  readonly receivedAt: Date;
}

/** The dispatcher's view of one pool. */
export interface PoolDispatch {
  readonly pool: string;
  readonly viewOffset: number;
  /** Gateways whose holdings are not known yet. */
  readonly awaiting: PersistentSet<string>;
  /** Gateways that were lost before they told what they use. */
  readonly lostUnheard: PersistentSet<string>;
  /** False until the holdings of every gateway were heard once: nothing is granted before. */
  readonly ready: boolean;
  readonly grants: PersistentMap<string, Grant>;
  readonly hosts: PersistentMap<string, HostLoad>;
  readonly free: PersistentMap<string, FreeBuckets>;
  readonly freeSlots: number;
  readonly totalSlots: number;
  /** Slots in use by work that is not known to be short. */
  readonly longBusy: number;
  readonly unsettledCount: number;
  /** Reports that wait for word of every gateway at work on their host. */
  readonly pendingReports: PersistentMap<string, PendingReport>;
  readonly ejectedCount: number;
  readonly waiting: PersistentMap<string, WaitingRequest>;
  readonly lanes: PersistentOrderedMap<string, Lane>;
  readonly workKinds: PersistentMap<string, WorkKindRecord>;
  readonly demand: Demand;
}

/** A view without hosts, holdings or requests. */
export function emptyPoolDispatch(
  pool: string,
  viewOffset: number,
  awaiting: PersistentSet<string>,
): PoolDispatch {
  return {
    pool,
    viewOffset,
    awaiting,
    lostUnheard: PersistentSet(),
    ready: false,
    grants: PersistentMap(),
    hosts: PersistentMap(),
    free: PersistentMap(),
    freeSlots: 0,
    totalSlots: 0,
    longBusy: 0,
    unsettledCount: 0,
    pendingReports: PersistentMap(),
    ejectedCount: 0,
    waiting: PersistentMap(),
    lanes: PersistentOrderedMap(),
    workKinds: PersistentMap(),
    demand: { arrivals: 0, measuredAt: null, meanRunMilliseconds: 0, offeredSlots: 0 },
  };
}

/** The health of a host that nothing is known against. */
export const GOOD_HEALTH: HostHealth = {
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: null,
  probing: false,
};

/** A slot whose work may still run although nobody hears of it. */
export interface UnsettledRecord {
  readonly slotRequestId: string;
  readonly hostId: string;
  readonly settleBy: Date;
}
