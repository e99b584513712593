/** The one interface through which the system meets the platform. docs/PLATFORM.md tells how to adapt another. */
import type { Result } from '@baobabdeck/errors';
import type {
  HostPresence,
  JobEnd,
  JobRequest,
  LogRecord,
  StoredRecord,
  StreamName,
} from '@baobabdeck/types';

/** How an append ended: `unknown` when its answer was lost and the record may stand in the log. */
export type AppendResult =
  | { readonly kind: 'stored'; readonly offset: number }
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string };

/** Records of a stream, in order. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** The oldest offset that the log still keeps. */
  readonly firstOffset: number;
  /** The offset that the next record will have. */
  readonly nextOffset: number;
}

/** Hosts as the platform saw them at a time that lies in the past. */
export interface HostList {
  readonly asOf: Date;
  readonly hosts: readonly {
    readonly hostId: string;
    readonly presence: HostPresence;
    readonly bootedAt: Date;
  }[];
}

/** Work in progress on hosts, as seen at a time that lies in the past. */
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

/** What a page of the log is asked for with. */
export interface ReadRequest {
  readonly stream: StreamName;
  readonly fromOffset: number;
  /** Time to wait for a record when there is none yet. */
  readonly waitMilliseconds: number;
  readonly limit: number;
}

/** The platform. No method throws for a fault of the platform; a lost answer is a result like another. */
export interface Platform {
  readonly append: (stream: StreamName, record: LogRecord) => Promise<AppendResult>;
  /** Fails with `logGap` when records from `fromOffset` on have expired. */
  readonly read: (request: ReadRequest) => Promise<Result<RecordPage>>;
  /** Hosts that changed since an earlier list, all of them for null. */
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
