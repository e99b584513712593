/** Effects that the reducer requests from the program that runs it, as data. */
import type { Failure } from '@baobabdeck/errors';
import type {
  HeldAnswer,
  JobRequest,
  LogRecord,
  PeerMessage,
  RanVerdict,
  StreamName,
  TargetAddress,
} from '@baobabdeck/types';

/** Names of the decisions that are logged; docs/LOG-EVENTS.md numbers them. */
export type DecisionName =
  | 'requestRefused'
  | 'attemptRetried'
  | 'targetEjected'
  | 'targetReturned'
  | 'dispatcherChanged'
  | 'configurationInForce'
  | 'commandRejected'
  | 'processLapsed'
  | 'processRecovered'
  | 'recordGap'
  | 'recordUnreadable'
  | 'drainPermitted'
  | 'wavePaused'
  | 'invariantViolated';

/** Fields of a logged decision. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | null>>;

/** An effect for the program to carry out. */
export type Effect =
  | { readonly kind: 'append'; readonly stream: StreamName; readonly record: LogRecord }
  | { readonly kind: 'send'; readonly to: string; readonly message: PeerMessage }
  | {
      readonly kind: 'start-attempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly target: TargetAddress;
      /** Maximum number of connections that this process may hold to the target. */
      readonly connectionLimit: number;
    }
  | { readonly kind: 'abort-attempt'; readonly attemptId: string }
  | { readonly kind: 'forward-response'; readonly requestId: string; readonly attemptId: string }
  | {
      readonly kind: 'refuse';
      readonly requestId: string;
      readonly failure: Failure;
      readonly ran: RanVerdict;
      /** Delay after which the caller may retry; null if a retry cannot help. */
      readonly retryAfterSeconds: number | null;
    }
  | { readonly kind: 'replay-answer'; readonly requestId: string; readonly answer: HeldAnswer }
  | { readonly kind: 'break-off-response'; readonly requestId: string }
  | { readonly kind: 'set-timer'; readonly timerId: string; readonly at: Date }
  | { readonly kind: 'clear-timer'; readonly timerId: string }
  | { readonly kind: 'read-usage'; readonly hostIds: readonly string[] }
  | { readonly kind: 'reboot-host'; readonly hostId: string }
  | {
      readonly kind: 'start-task';
      readonly hostId: string;
      readonly leaseId: string;
      readonly job: JobRequest;
    }
  | { readonly kind: 'checkpoint-task'; readonly leaseId: string }
  | { readonly kind: 'stop-task'; readonly leaseId: string }
  | { readonly kind: 'log'; readonly decision: DecisionName; readonly fields: DecisionFields };

/** A generator that yields effects and returns a value. */
export type Step<T> = Generator<Effect, T, void>;
