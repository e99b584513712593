/** The only interface between the system and the platform. docs/PLATFORM.md explains how to adapt another platform. */
import type { Result } from '@baobabdeck/errors';
import type {
  HostPresence,
  JobEnd,
  JobRequest,
  LogRecord,
  StoredRecord,
  StreamName,
} from '@baobabdeck/types';

/** Outcome of an append; `unknown` means that the answer was lost, so the record may be in the log. */
export type AppendResult =
  | { readonly kind: 'stored'; readonly offset: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

/** Records of a stream, in order. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** The oldest offset that the log still keeps. */
  readonly firstOffset: number;
  /** The offset that the next appended record will get. */
  readonly nextOffset: number;
}

/** Hosts as the platform observed them at `asOf`, a time in the past. */
export interface HostList {
  readonly asOf: Date;
  readonly hosts: readonly {
    readonly hostId: string;
    readonly presence: HostPresence;
    readonly bootedAt: Date;
  }[];
}

/** Requests in progress on hosts, as observed at `asOf`, a time in the past. */
export interface UsageReport {
  readonly asOf: Date;
  readonly usage: readonly { readonly hostId: string; readonly runningRequests: number }[];
}

/** A task that runs or ran under a lease. */
export interface TaskReport {
  readonly leaseId: string;
  readonly jobId: string;
  readonly state: 'running' | JobEnd;
}

/** Parameters of a read of one page of a stream. */
export interface ReadRequest {
  readonly stream: StreamName;
  readonly fromOffset: number;
  /** Time that the log may wait for a record if there is none yet. */
  readonly waitMilliseconds: number;
  readonly limit: number;
}

/** Client of the platform. No method throws for a fault of the platform; a lost answer is returned as a result. */
export interface Platform {
  readonly append: (stream: StreamName, record: LogRecord) => Promise<AppendResult>;
  /** Fails with `logGap` when records from `fromOffset` on have expired. */
  readonly read: (request: ReadRequest) => Promise<Result<RecordPage>>;
  /** Lists the hosts that changed since the `asOf` of an earlier list; lists all hosts for null. */
  readonly listHosts: (since: Date | null) => Promise<Result<HostList>>;
  readonly readUsage: (hostIds: readonly string[]) => Promise<Result<UsageReport>>;
  readonly rebootHost: (hostId: string) => Promise<Result<null>>;
  readonly listTasks: () => Promise<Result<readonly TaskReport[]>>;
  readonly startTask: (hostId: string, leaseId: string, job: JobRequest) => Promise<Result<null>>;
  readonly checkpointTask: (leaseId: string) => Promise<Result<null>>;
  readonly throttleTask: (leaseId: string) => Promise<Result<null>>;
  readonly stopTask: (leaseId: string) => Promise<Result<null>>;
  readonly close: () => Promise<void>;
}
