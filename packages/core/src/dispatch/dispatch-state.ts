/** State that a pool's dispatcher keeps: slots in use and their holders, host health, and waiting requests. */
import type { CapabilityNeed, SlotRequest, WorkClass } from '@baobabdeck/types';
import {
  PersistentList,
  PersistentMap,
  PersistentOrderedMap,
  PersistentOrderedSet,
  PersistentSet,
} from '../persistent.js';

/** A slot that a gateway holds for one attempt. */
export interface Grant {
  readonly slotRequestId: string;
  /** Process id of the gateway that holds the slot. */
  readonly holder: string;
  readonly hostId: string;
  readonly caller: string;
  readonly workKind: string;
  readonly workClass: WorkClass;
  readonly longWorkThresholdMilliseconds: number;
  readonly grantedAt: Date;
  /**
   * When the holder abandoned the attempt or was lost, so that the work may still run; null while the holder
   * is known to use the slot.
   */
  readonly unsettledSince: Date | null;
  /**
   * When an unsettled slot is freed without a usage report of the platform; null while the slot is not
   * unsettled.
   */
  readonly settleBy: Date | null;
  /** True once the run has exceeded its threshold and is counted as long in the statistics of its work kind. */
  readonly countedAsLong: boolean;
}

/** Recent results of attempts on a host, from which outliers are ejected. */
export interface HostHealth {
  readonly consecutiveFailures: number;
  readonly ejections: number;
  /** End of the ejection, during which the host gets no work; null if the host is not ejected. */
  readonly ejectedUntil: Date | null;
  /** True after an ejection has ended: the host gets one slot until an attempt succeeds on it. */
  readonly probing: boolean;
}

/** Slot usage and health of a host. */
export interface HostLoad {
  readonly hardware: string;
  /** True if the host is in service and not observed as failed or leaving. */
  readonly routable: boolean;
  readonly busySlots: number;
  /** Slots that may be in use at once; reduced below the configured number when the host refuses work. */
  readonly slotLimit: number;
  readonly health: HostHealth;
}

/** Host ids indexed by number of free slots; index 0 stays empty. */
export type FreeBuckets = PersistentList<PersistentOrderedSet<string>>;

/** A request in the queue of a pool. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  readonly holder: string;
  readonly queueClassName: string;
  readonly arrivedAt: Date;
  readonly deadlineAt: Date;
}

/** Waiting requests with the same needs and work class, served round-robin by caller. */
export interface QueueClass {
  readonly isLong: boolean;
  readonly needs: readonly CapabilityNeed[];
  /** Slot request ids by caller, oldest first; the first caller is served next. */
  readonly callers: PersistentOrderedMap<string, PersistentList<string>>;
}

/** Run statistics of one work kind. */
export interface WorkKindStatistics {
  /** Moving average of the share of runs above the threshold, 0 to 1; null before the first recorded run. */
  readonly longRunShare: number | null;
  /** Number of recorded runs. */
  readonly runs: number;
  /** Hosts on which the latest attempt of this kind failed. */
  readonly failingHostIds: PersistentSet<string>;
}

/** Moving averages of the demand for a pool's slots. */
export interface Demand {
  /** Slot requests since the last measurement. */
  readonly arrivals: number;
  readonly measuredAt: Date | null;
  readonly meanRunMilliseconds: number;
  /** Offered load: arrival rate times mean run time, in slots. */
  readonly offeredSlots: number;
}

/** A usage report of the platform for a host with unsettled slots, kept until it can be evaluated. */
export interface PendingUsageReport {
  readonly asOf: Date;
  readonly runningCount: number;
  readonly receivedAt: Date;
}

/** Dispatch state of one pool. Only the pool's dispatcher holds it. */
export interface PoolDispatch {
  readonly pool: string;
  /** Offset in the fleet log of the gateway membership under which this process became the dispatcher. */
  readonly viewOffset: number;
  /** Gateways that have not reported their held slots yet. */
  readonly awaitingHoldingsFrom: PersistentSet<string>;
  /** Gateways that were lost before they reported their held slots. */
  readonly lostBeforeReporting: PersistentSet<string>;
  /** True once every gateway has reported its held slots or was lost; no slot is granted before. */
  readonly ready: boolean;
  readonly grants: PersistentMap<string, Grant>;
  readonly hosts: PersistentMap<string, HostLoad>;
  readonly freeHostsByHardware: PersistentMap<string, FreeBuckets>;
  readonly freeSlots: number;
  readonly totalSlots: number;
  /** Slots in use by work that is not classified as short. */
  readonly longBusySlots: number;
  readonly unsettledCount: number;
  /** Usage reports by host, kept until every gateway with a grant on the host has been heard from since. */
  readonly pendingUsageReports: PersistentMap<string, PendingUsageReport>;
  readonly ejectedCount: number;
  readonly waiting: PersistentMap<string, WaitingRequest>;
  readonly queueClasses: PersistentOrderedMap<string, QueueClass>;
  readonly workKinds: PersistentMap<string, WorkKindStatistics>;
  readonly demand: Demand;
}

/** Returns the initial dispatch state of a pool, without hosts, grants or requests. */
export function emptyPoolDispatch(
  pool: string,
  viewOffset: number,
  awaitingHoldingsFrom: PersistentSet<string>,
): PoolDispatch {
  return {
    pool,
    viewOffset,
    awaitingHoldingsFrom,
    lostBeforeReporting: PersistentSet(),
    ready: false,
    grants: PersistentMap(),
    hosts: PersistentMap(),
    freeHostsByHardware: PersistentMap(),
    freeSlots: 0,
    totalSlots: 0,
    longBusySlots: 0,
    unsettledCount: 0,
    pendingUsageReports: PersistentMap(),
    ejectedCount: 0,
    waiting: PersistentMap(),
    queueClasses: PersistentOrderedMap(),
    workKinds: PersistentMap(),
    demand: { arrivals: 0, measuredAt: null, meanRunMilliseconds: 0, offeredSlots: 0 },
  };
}

/** Health of a host without recorded failures. */
export const INITIAL_HOST_HEALTH: HostHealth = {
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: null,
  probing: false,
};

/** A slot whose work may still run although no gateway holds it any more. */
export interface UnsettledRecord {
  readonly slotRequestId: string;
  readonly hostId: string;
  readonly settleBy: Date;
}
