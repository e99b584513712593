/** Everything that can happen to a process, as data. */
import type {
  HeldAnswer,
  HostPresence,
  JobEnd,
  PeerMessage,
  RequestDescription,
  StoredRecord,
  StreamName,
} from '@baobabdeck/types';

/** What the platform's host list says of one host. */
export interface HostListing {
  readonly hostId: string;
  readonly presence: HostPresence;
  /** When the host last started. */
  readonly bootedAt: Date;
}

/** Work in progress on one host, as the platform last saw it. */
export interface HostUsage {
  readonly hostId: string;
  readonly runningRequests: number;
}

/** A task's state on the platform. */
export interface TaskListing {
  readonly leaseId: string;
  readonly jobId: string;
  readonly state: 'running' | JobEnd;
}

/** How an append ended, as far as the process can tell. */
export type AppendOutcome = 'stored' | 'refused' | 'unknown';

/** How far an attempt had come when it failed. */
export type FailureStage = 'before-sending' | 'after-sending' | 'after-response';

/** One event. `at` is the process's clock when it happened. */
export type Event = { readonly at: Date } & (
  | { readonly kind: 'ticked' }
  | { readonly kind: 'timer-fired'; readonly timerId: string }
  | {
      readonly kind: 'records-read';
      readonly stream: StreamName;
      readonly records: readonly StoredRecord[];
      /** When the read was sent; null for records that a peer pushed. */
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
      /** The whole answer when it is small enough to hold for repeats. */
      readonly answer: HeldAnswer | null;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly attemptId: string;
      readonly stage: FailureStage;
      /** Whether the request's body can be sent once more. */
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
  /** Hosts of the platform's list that changed since the last one; all of them the first time. */
  | { readonly kind: 'host-list-read'; readonly asOf: Date; readonly hosts: readonly HostListing[] }
  | { readonly kind: 'usage-read'; readonly asOf: Date; readonly usage: readonly HostUsage[] }
  | { readonly kind: 'tasks-read'; readonly tasks: readonly TaskListing[] }
  | { readonly kind: 'stop-requested' }
  /** The last request of a stopping process is over. */
  | { readonly kind: 'leave-requested' }
);

/** The events of one kind. */
export type EventOf<K extends Event['kind']> = Extract<Event, { readonly kind: K }>;
