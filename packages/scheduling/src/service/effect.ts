/** What a service's scheduler asks its program to do, as data. */
import type { ServiceRecord } from '../model/records.js';
import type { RunAddress } from './event.js';

/** Decisions that are worth a line in the log, by name. */
export type SchedulingDecision =
  | 'jobQueued'
  | 'jobEnded'
  | 'jobForgotten'
  | 'taskPlaced'
  | 'taskEnded'
  | 'taskStartRefused'
  | 'taskStopOrdered'
  | 'strayRunStopped'
  | 'workerFound'
  | 'workerLost'
  | 'workerSilent'
  | 'workerBack'
  | 'workerEjected'
  | 'leaseLapsed'
  | 'releaseBegun'
  | 'releaseWithdrawn'
  | 'hostReleased'
  | 'ownershipSuperseded'
  | 'claimRenewed'
  | 'invariantViolated';

/** Names and values that go with a logged decision. */
export type SchedulingFields = Readonly<Record<string, string | number | boolean | null>>;

/** One effect. */
export type ServiceEffect =
  | { readonly kind: 'store-records'; readonly appendId: number; readonly records: readonly ServiceRecord[] }
  | {
      /** Renews a worker's lease and asks for its lists; answered by 'worker-reported' or 'worker-silent'. */
      readonly kind: 'renew-lease';
      readonly workerId: string;
      readonly address: string;
      readonly incarnation: number;
      readonly fencingEpoch: number;
      /** Lease end on the worker's clock; null leaves it as it is. */
      readonly leaseUntil: number | null;
      readonly acknowledgedEnd: number;
      readonly waitMilliseconds: number;
      /** Time before the call is made. */
      readonly delayMilliseconds: number;
    }
  | {
      readonly kind: 'start-run';
      readonly address: RunAddress;
      readonly workerAddress: string;
      readonly fencingEpoch: number;
      readonly specification: string;
      readonly leaseUntil: number;
      /** Empty for none. */
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
  | { readonly kind: 'list-hosts' }
  /** Gives the ownership up; to claim it again at once raises the fencing token. */
  | { readonly kind: 'give-up-ownership'; readonly reason: string; readonly claimsAgain: boolean }
  | { readonly kind: 'log'; readonly decision: SchedulingDecision; readonly fields: SchedulingFields };

/** A step that yields effects and ends with a value. */
export type ServiceStep<T> = Generator<ServiceEffect, T, void>;
