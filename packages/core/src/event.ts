/** Input events of the reducer, as data. */
import type {
  HeldAnswer,
  HostPresence,
  JobEnd,
  PeerMessage,
  RequestDescription,
  StoredRecord,
  StreamName,
} from '@baobabdeck/types';

/** Entry of the platform's host list. */
export interface HostListing {
  readonly hostId: string;
  readonly presence: HostPresence;
  /** When the host last started. */
  readonly bootedAt: Date;
}

/** Number of requests running on one host, as counted by the platform. */
export interface HostUsage {
  readonly hostId: string;
  readonly runningRequests: number;
}

/** State of a task on the platform. */
export interface TaskListing {
  readonly leaseId: string;
  readonly jobId: string;
  readonly state: 'running' | JobEnd;
}

/** Outcome of an append; `unknown` if the record may or may not be stored. */
export type AppendOutcome = 'stored' | 'refused' | 'unknown';

/** Stage at which an attempt failed. */
export type FailureStage = 'before-sending' | 'after-sending' | 'after-response';

/** An event. `at` is the time on the process's clock when it happened. */
export type Event = { readonly at: Date } & (
  | { readonly kind: 'ticked' }
  | { readonly kind: 'timer-fired'; readonly timerId: string }
  | {
      readonly kind: 'records-read';
      readonly stream: StreamName;
      readonly records: readonly StoredRecord[];
      /** When the read was sent; null for records pushed by a peer. */
      readonly readStartedAt: Date | null;
    }
  | { readonly kind: 'stream-unreadable'; readonly stream: StreamName }
  | { readonly kind: 'append-settled'; readonly recordId: string; readonly outcome: AppendOutcome }
  | { readonly kind: 'request-arrived'; readonly request: RequestDescription }
  | { readonly kind: 'caller-left'; readonly requestId: string }
  | { readonly kind: 'attempt-responded'; readonly attemptId: string; readonly status: number }
  | {
      readonly kind: 'attempt-completed';
      readonly attemptId: string;
      readonly status: number;
      /** The whole answer if it is small enough to be kept for repeated requests, otherwise null. */
      readonly answer: HeldAnswer | null;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly attemptId: string;
      readonly stage: FailureStage;
      /** Whether the request's body can be sent again. */
      readonly bodyReplayable: boolean;
      readonly reason: string;
    }
  | { readonly kind: 'peer-linked'; readonly processId: string }
  | {
      readonly kind: 'peer-message-received';
      readonly from: string;
      readonly incarnation: string;
      readonly message: PeerMessage;
    }
  /** Hosts that changed since the previous host list; all hosts in the first one. */
  | { readonly kind: 'host-list-read'; readonly asOf: Date; readonly hosts: readonly HostListing[] }
  | { readonly kind: 'usage-read'; readonly asOf: Date; readonly usage: readonly HostUsage[] }
  | { readonly kind: 'tasks-read'; readonly tasks: readonly TaskListing[] }
  | { readonly kind: 'stop-requested' }
  /** The last request of a stopping process has ended, so the process can leave. */
  | { readonly kind: 'leave-requested' }
);

/** Event of one kind. */
export type EventOf<K extends Event['kind']> = Extract<Event, { readonly kind: K }>;
