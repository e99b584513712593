/** Events that the reducer of a service's scheduler handles. */
import type { TaskKey } from '../model/job.js';
import type { StoredServiceRecord } from '../model/records.js';
import type { HostListing, WorkerListing, WorkerReport } from '../model/worker.js';
import type { Instant } from '../model/instant.js';
import type { ServiceGrants, WorkspaceTerms } from '../model/workspace.js';

/** Outcome of an order to start a run. */
export type StartOutcome =
  | 'started'
  /** The worker has seen a higher fencing epoch. */
  | 'fenced'
  /** A run of the task with the same or a higher number has ended or been stopped on the worker. */
  | 'superseded'
  /** The lease had expired when the order arrived. */
  | 'late'
  | 'no-room'
  | 'no-ticket'
  /** Another incarnation of the worker answered. */
  | 'other-incarnation'
  /** The worker is unhealthy and did nothing. */
  | 'unhealthy'
  /** The worker rejected the order as invalid. */
  | 'invalid'
  /** No answer: the order may have been executed, or may still be. */
  | 'unanswered';

/** Outcome of an order to stop a run. */
export type StopOutcome = 'accepted' | 'fenced' | 'other-incarnation' | 'unanswered';

/** Outcome of an order to set the pace of a run. */
export type PaceOutcome =
  | 'accepted'
  /** The worker does not have the run any more. */
  | 'gone'
  | 'fenced'
  | 'other-incarnation'
  /** No answer: the order may have been executed, or may still be. */
  | 'unanswered';

/** Address of one run on one incarnation of a worker. */
export interface RunAddress {
  readonly task: TaskKey;
  readonly run: number;
  readonly workerId: string;
  readonly incarnation: number;
}

/** Request of the fleet owner to drain and release a host. */
export interface HostReleaseRequest {
  readonly hostId: string;
  readonly purpose: 'move' | 'maintenance';
}

/** One event, with its time on the monotonic clock and by the time of day. */
export type ServiceEvent = { readonly at: Instant; readonly timeOfDay: Date } & (
  | { readonly kind: 'ticked' }
  | {
      readonly kind: 'records-read';
      readonly records: readonly StoredServiceRecord[];
      /** When the request to read was sent. */
      readonly askedAt: Instant;
    }
  | { readonly kind: 'records-stored'; readonly appendId: number; readonly askedAt: Instant }
  /** The inbox of another service holds a forwarded job. */
  | { readonly kind: 'job-forwarded'; readonly jobId: string }
  /** Forwarded jobs that their service does not know. */
  | { readonly kind: 'jobs-unknown'; readonly service: string; readonly jobIds: readonly string[] }
  /** The store has seen a newer owner of the service. */
  | { readonly kind: 'ownership-lost' }
  /** All workers of the service in the register. */
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
      readonly kind: 'pace-settled';
      readonly address: RunAddress;
      readonly percent: number;
      readonly outcome: PaceOutcome;
    }
  | {
      /** The fleet owner requests hosts to be released, and returns hosts to the service. */
      readonly kind: 'host-requests-received';
      readonly releases: readonly HostReleaseRequest[];
      readonly returns: readonly string[];
      /** Epoch of the fleet owner and number of its message. Messages older than the newest applied one are ignored. */
      readonly epoch: number;
      readonly sequence: number;
      /** Absent or null if the fleet owner grants nothing with this message; earlier grants stay in force. */
      readonly grants?: ServiceGrants | null;
    }
  | {
      /** The workspaces of the configuration in force in this process. */
      readonly kind: 'workspaces-configured';
      readonly version: number;
      readonly workspaces: readonly WorkspaceTerms[];
    }
  | { readonly kind: 'stop-requested' }
);

/** Events of one kind. */
export type ServiceEventOf<K extends ServiceEvent['kind']> = Extract<ServiceEvent, { readonly kind: K }>;
