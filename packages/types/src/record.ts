/** Records of the platform's log. The fold accepts or rejects each at its offset. */
import type { SectionChange } from './configuration.js';
import type { ProcessIdentity } from './identity.js';

/** The system's own streams in the log. */
export type StreamName = 'fleet' | 'keys';

/** How the platform's host list shows a host. */
export type HostPresence = 'live' | 'leaving' | 'failed' | 'unknown';

/** Why a host is taken out of service. */
export type DrainPurpose = 'maintenance' | 'move' | 'operator';

/** A maintenance wave over the hosts of some pools. */
export interface WavePlan {
  readonly waveId: string;
  readonly hostIds: readonly string[];
}

/** One idempotency key that a gateway claims for one request. */
export interface KeyClaim {
  /** Hash of service, caller and key. */
  readonly keyHash: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  readonly requestId: string;
  /** When the key says that it was made; null for a key that carries no time. */
  readonly madeAt: Date | null;
}

/** How a claimed piece of work ended. */
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

/** Why a job leaves its worker or the system. */
export type JobEnd = 'succeeded' | 'failed' | 'lapsed' | 'checkpointed' | 'cancelled';

/** What a record asks for or reports. */
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
      /** Age of the host list that the issuer decided on. */
      readonly hostListAgeMilliseconds: number;
      /** Epoch of the issuer's control of the pool; null for an operator. */
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
      /** How long a key that carries its time is remembered. */
      readonly memoryMilliseconds: number;
      /** The most keys without a time that are remembered; further ones are rejected. */
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

/** A record as its issuer appended it. */
export interface LogRecord {
  /** The command's id: a second record with the same id has no effect. */
  readonly id: string;
  readonly issuer: string;
  readonly issuedAt: Date;
  /** The first offset that the issuer had not yet folded when it decided. */
  readonly decidedAtOffset: number;
  readonly body: RecordBody;
}

/** A record at its place in the log. A null record is one that this version cannot read. */
export interface StoredRecord {
  readonly offset: number;
  readonly record: LogRecord | null;
}
