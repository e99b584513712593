/** Effects that the reducer of a service's scheduler yields for its caller to execute. */
import type { JobRequest } from '../model/job.js';
import type { ServiceRecord } from '../model/records.js';
import type { RunAddress } from './event.js';

/** Names of the decisions that are logged. */
export type SchedulingDecision =
  | 'jobQueued'
  | 'jobEnded'
  | 'jobFailed'
  | 'jobForgotten'
  | 'jobForwarded'
  | 'taskPlaced'
  | 'taskEnded'
  | 'taskStartRefused'
  | 'taskQuarantined'
  | 'taskStopOrdered'
  | 'strayRunStopped'
  | 'lastingTaskWaits'
  | 'workerFound'
  | 'workerLost'
  | 'workerSilent'
  | 'workerBack'
  | 'workerEjected'
  | 'leaseLapsed'
  | 'interferenceFound'
  | 'interferenceDropped'
  | 'workerPaceChanged'
  | 'paceUnanswered'
  | 'releaseBegun'
  | 'releaseWithdrawn'
  | 'hostReleased'
  | 'ownershipSuperseded'
  | 'ownershipProven'
  | 'ownershipUnproven'
  | 'workersReached'
  | 'claimRenewed'
  | 'invariantViolated';

/** Log fields of a decision, by name. */
export type SchedulingFields = Readonly<Record<string, string | number | boolean | null>>;

/** One effect of the reducer. */
export type ServiceEffect =
  | { readonly kind: 'store-records'; readonly appendId: number; readonly records: readonly ServiceRecord[] }
  | {
      /** Renews a worker's lease and requests a report; answered by 'worker-reported' or 'worker-silent'. */
      readonly kind: 'renew-lease';
      readonly workerId: string;
      readonly address: string;
      readonly incarnation: number;
      readonly fencingEpoch: number;
      /** Lease end on the worker's clock; null leaves the lease unchanged. */
      readonly leaseUntil: number | null;
      readonly acknowledgedEnd: number;
      readonly waitMilliseconds: number;
      /** Delay before the call is made. */
      readonly delayMilliseconds: number;
    }
  | {
      readonly kind: 'start-run';
      readonly address: RunAddress;
      readonly workerAddress: string;
      readonly fencingEpoch: number;
      readonly specification: string;
      readonly leaseUntil: number;
      /** Empty if there is none. */
      readonly checkpoint: string;
      readonly ticket: string | null;
      readonly delayMilliseconds: number;
    }
  | {
      readonly kind: 'stop-run';
      readonly address: RunAddress;
      readonly workerAddress: string;
      readonly fencingEpoch: number;
      readonly delayMilliseconds: number;
    }
  | {
      /** Sets the share of full speed at which a run works; answered by 'pace-settled'. */
      readonly kind: 'pace-run';
      readonly address: RunAddress;
      readonly workerAddress: string;
      readonly fencingEpoch: number;
      /** From 0 to 100. */
      readonly percent: number;
      readonly delayMilliseconds: number;
    }
  /** Appends a job again to the inbox of this service, where a later submission has replaced it. */
  | { readonly kind: 'rewrite-request'; readonly request: JobRequest }
  /** Appends a job to the inbox of the service that it names; answered by 'job-forwarded'. */
  | { readonly kind: 'forward-job'; readonly request: JobRequest }
  | { readonly kind: 'forward-cancellation'; readonly jobId: string; readonly service: string }
  /** Asks the owner of a service which jobs it does not know; answered by 'jobs-unknown'. */
  | { readonly kind: 'find-unknown-jobs'; readonly service: string; readonly jobIds: readonly string[] }
  | { readonly kind: 'list-hosts' }
  /** Gives up the ownership. If `claimsAgain`, the service is claimed again at once, which raises the fencing epoch. */
  | { readonly kind: 'give-up-ownership'; readonly reason: string; readonly claimsAgain: boolean }
  | { readonly kind: 'log'; readonly decision: SchedulingDecision; readonly fields: SchedulingFields };

/** A part of the reduction that yields effects and returns a value. */
export type ServiceStep<T> = Generator<ServiceEffect, T, void>;
