/** The register of workers, and orders to workers. */
import type {
  PaceOutcome,
  StartOutcome,
  StopOutcome,
  TaskKey,
  WorkerListing,
  WorkerReport,
} from '@baobabdeck/scheduling';

/** A change of the register: a worker's newest entry, or its removal. */
export type RegisterChange =
  | { readonly kind: 'listed'; readonly listing: WorkerListing }
  | { readonly kind: 'removed'; readonly workerId: string };

/** The result of reading the register. */
export type RegisterReadOutcome =
  | {
      readonly kind: 'read';
      readonly changes: readonly RegisterChange[];
      readonly nextOffset: number;
      /** Whether the register had further changes at the time of the read. */
      readonly hasMore: boolean;
    }
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly detail: string };

/** The register of workers. No method throws. */
export interface WorkerRegister {
  readonly readNewest: () => Promise<RegisterReadOutcome>;
  readonly read: (fromOffset: number) => Promise<RegisterReadOutcome>;
}

/** The fields of every order to a worker: the worker, the address of its incarnation, and the owner's fencing epoch. */
export interface WorkerOrderBase {
  readonly workerId: string;
  readonly address: string;
  readonly fencingEpoch: number;
}

/** An order to renew a lease. */
export interface RenewLeaseOrder extends WorkerOrderBase {
  readonly leaseUntil: number | null;
  readonly acknowledgedEnd: number;
  readonly waitMilliseconds: number;
}

/** An order to start a run. */
export interface StartRunOrder extends WorkerOrderBase {
  readonly task: TaskKey;
  readonly run: number;
  readonly specification: string;
  readonly leaseUntil: number;
  readonly checkpoint: string;
  readonly ticket: string | null;
}

/** An order to stop a run. */
export interface StopRunOrder extends WorkerOrderBase {
  readonly task: TaskKey;
  readonly run: number;
}

/** An order to set the share of full speed at which a run works, in percent from 0 to 100. */
export interface PaceRunOrder extends WorkerOrderBase {
  readonly task: TaskKey;
  readonly run: number;
  readonly percent: number;
}

/** The result of a lease renewal. */
export type RenewLeaseOutcome =
  | { readonly kind: 'reported'; readonly report: WorkerReport }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'other-incarnation' }
  | { readonly kind: 'unanswered'; readonly detail: string };

/** Orders to workers. No method throws. */
export interface WorkerOrders {
  readonly renewLease: (order: RenewLeaseOrder) => Promise<RenewLeaseOutcome>;
  readonly startRun: (
    order: StartRunOrder,
  ) => Promise<{ readonly outcome: StartOutcome; readonly clockMilliseconds: number | null }>;
  readonly stopRun: (order: StopRunOrder) => Promise<StopOutcome>;
  readonly paceRun: (order: PaceRunOrder) => Promise<PaceOutcome>;
  /** Closes the connections to a worker that no longer exists. */
  readonly closeConnections: (address: string) => void;
}
