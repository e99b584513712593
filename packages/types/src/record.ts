/** Records of the platform's log. The fold accepts or rejects each record at its offset. */
import type { SectionChange } from './configuration.js';
import type { ProcessIdentity } from './identity.js';

/** Streams of the log that this system writes. */
export type StreamName = 'fleet' | 'keys';

/** State of a host in the platform's host list. */
export type HostPresence = 'live' | 'leaving' | 'failed' | 'unknown';

/** Reason for taking a host out of service. */
export type DrainPurpose = 'maintenance' | 'move' | 'operator';

/** A maintenance wave and the hosts that it covers, which may belong to several pools. */
export interface WavePlan {
  readonly waveId: string;
  readonly hostIds: readonly string[];
}

/** A gateway's claim of one idempotency key for one request. */
export interface KeyClaim {
  /** Hash of service, caller and key. */
  readonly keyHash: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: string;
  /** Creation time that the key itself contains; null for a key without a time. */
  readonly madeAt: Date | null;
}

/** Outcome of the work of a claimed key. */
export type KeyOutcome = 'answered' | 'not-run' | 'unknown';

/** A job that a team submits. */
export interface JobRequest {
  readonly jobId: string;
  readonly team: string;
  readonly pool: string;
  readonly cores: number;
  readonly accelerators: number;
  readonly memoryGigabytes: number;
  readonly urgent: boolean;
  readonly repeatable: boolean;
}

/** Reason why a job leaves its worker or the system. */
export type JobEnd = 'succeeded' | 'failed' | 'lapsed' | 'checkpointed' | 'cancelled';

/** Content of a record: a command or a reported event, tagged by `kind`. */
export type RecordBody =
  | {
      readonly kind: 'configuration-published';
      readonly expectedVersion: number;
      readonly changes: readonly SectionChange[];
    }
  | { readonly kind: 'process-registered'; readonly identity: ProcessIdentity }
  | { readonly kind: 'process-removed'; readonly processId: string; readonly incarnation: string }
  | { readonly kind: 'pool-control-claimed'; readonly pool: string; readonly epoch: number }
  | { readonly kind: 'host-presence-observed'; readonly hostId: string; readonly presence: HostPresence }
  | {
      readonly kind: 'host-drain-requested';
      readonly hostId: string;
      readonly purpose: DrainPurpose;
      readonly waveId: string | null;
      readonly destinationPool: string | null;
      /** Age of the host list on which the issuer based its decision. */
      readonly hostListAgeMilliseconds: number;
      /** Fencing epoch of the issuer's control of the pool; null if the issuer is an operator. */
      readonly epoch: number | null;
    }
  | { readonly kind: 'host-drained'; readonly hostId: string; readonly epoch: number }
  | { readonly kind: 'host-returned'; readonly hostId: string; readonly epoch: number | null }
  | { readonly kind: 'wave-started'; readonly plan: WavePlan }
  | { readonly kind: 'wave-paused'; readonly waveId: string; readonly reason: string }
  | { readonly kind: 'wave-resumed'; readonly waveId: string }
  | {
      readonly kind: 'wave-host-skipped';
      readonly waveId: string;
      readonly hostId: string;
      readonly reason: string;
    }
  | { readonly kind: 'job-submitted'; readonly job: JobRequest }
  | {
      readonly kind: 'job-placed';
      readonly jobId: string;
      readonly hostId: string;
      readonly leaseId: string;
      readonly epoch: number;
    }
  | {
      readonly kind: 'job-ended';
      readonly jobId: string;
      readonly leaseId: string;
      readonly end: JobEnd;
      readonly epoch: number | null;
    }
  | { readonly kind: 'job-cancelled'; readonly jobId: string }
  | {
      readonly kind: 'keys-claimed';
      readonly processId: string;
      readonly incarnation: string;
      readonly claims: readonly KeyClaim[];
      /** Retention of keys that contain their creation time. */
      readonly memoryMilliseconds: number;
      /** Maximum number of keys without a time that are remembered; further ones are rejected. */
      readonly untimedLimit: number;
    }
  | {
      readonly kind: 'keys-ended';
      readonly ends: readonly {
        readonly keyHash: string;
        readonly requestId: string;
        readonly outcome: KeyOutcome;
      }[];
    }
  | {
      readonly kind: 'snapshot-part';
      readonly snapshotId: string;
      readonly throughOffset: number;
      readonly part: number;
      readonly parts: number;
      readonly checksum: string;
      readonly data: string;
    };

/** A record as its issuer appends it. */
export interface LogRecord {
  /** Id for deduplication: a second record with the same id has no effect. */
  readonly id: string;
  readonly issuer: string;
  readonly issuedAt: Date;
  /** First offset that the issuer had not yet folded when it made its decision. */
  readonly decidedAtOffset: number;
  readonly body: RecordBody;
}

/** A record with its offset in the log. `record` is null if this version cannot read it. */
export interface StoredRecord {
  readonly offset: number;
  readonly record: LogRecord | null;
}
