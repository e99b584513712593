/** Everything that can happen to a service's scheduler, as data. */
import type { TaskKey } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import type { HostListing, WorkerListing, WorkerReport } from '../model/worker.js';
import type { Instant } from './state.js';

/** How a worker answered an order to start. */
export type StartOutcome =
  | 'started'
  /** A higher fencing token has been seen there. */
  | 'fenced'
  /** A run that is not lower has ended or been stopped there. */
  | 'superseded'
  /** The lease was over when the order arrived. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  /** Another life of the worker answered. */
  | 'other-incarnation'
  /** The worker is not healthy and did nothing. */
  | 'unhealthy'
  /** The worker does not take the order as valid. */
  | 'invalid'
  /** No answer: it may have been, or may yet be, carried out. */
  | 'unanswered';

/** How a worker answered an order to stop. */
export type StopOutcome = 'accepted' | 'fenced' | 'other-incarnation' | 'unanswered';

/** One run on one life of one worker. */
export interface RunAddress {
  readonly task: TaskKey;
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
}

/** A host that is wanted for something else. */
export interface HostReleaseRequest {
  readonly hostId: string;
  readonly purpose: 'move' | 'maintenance';
}

/** One event: when it happened on the steady clock, and what. */
export type ServiceEvent = { readonly at: Instant; readonly timeOfDay: Date } & (
  | { readonly kind: 'ticked' }
  | {
      readonly kind: 'records-read';
      readonly records: readonly StoredServiceRecord[];
      /** When the read was sent. */
      readonly askedAt: Instant;
    }
  | { readonly kind: 'records-stored'; readonly appendId: number; readonly askedAt: Instant }
  /** The store has seen a newer owner. */
  | { readonly kind: 'ownership-lost' }
  /** Every worker of the service that the register holds. */
  | { readonly kind: 'workers-listed'; readonly workers: readonly WorkerListing[] }
  | {
      readonly kind: 'hosts-listed';
      readonly hosts: readonly HostListing[];
      readonly askedAt: Instant;
    }
  | {
      readonly kind: 'worker-reported';
      readonly workerId: string;
      readonly report: WorkerReport;
      readonly askedAt: Instant;
    }
  | { readonly kind: 'worker-fenced'; readonly workerId: string }
  | { readonly kind: 'worker-silent'; readonly workerId: string; readonly askedAt: Instant }
  | {
      readonly kind: 'start-settled';
      readonly address: RunAddress;
      readonly outcome: StartOutcome;
      readonly clockMilliseconds: number | null;
    }
  | { readonly kind: 'stop-settled'; readonly address: RunAddress; readonly outcome: StopOutcome }
  | {
      /** The fleet's owner says which hosts it wants emptied, and which are to be used again. */
      readonly kind: 'hosts-wished';
      readonly releases: readonly HostReleaseRequest[];
      readonly returns: readonly string[];
      /** Epoch of the fleet's owner and number of its message: older messages that come late are not obeyed. */
      readonly epoch: number;
      readonly sequence: number;
    }
  | { readonly kind: 'stop-requested' }
);

/** The events of one kind. */
export type ServiceEventOf<K extends ServiceEvent['kind']> = Extract<ServiceEvent, { readonly kind: K }>;
