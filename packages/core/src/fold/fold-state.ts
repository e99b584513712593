/** State derived only from the log: equal at the same offset in every process. */
import type { ResultName } from '@baobabdeck/errors';
import type {
  DataCentreSection,
  DrainPurpose,
  HardwareSection,
  HostPresence,
  JobEnd,
  JobRequest,
  KeyOutcome,
  PoolSection,
  ProcessIdentity,
  RackSection,
  ServiceSection,
  TeamSection,
  WorkspaceSection,
} from '@baobabdeck/types';
import {
  PersistentList,
  PersistentMap,
  PersistentOrderedMap,
  PersistentOrderedSet,
  PersistentSet,
} from '../persistent.js';

/** The configuration in force. */
export interface ConfigurationState {
  /** Number of accepted publications. */
  readonly version: number;
  /** Offset of the record that published this version; -1 before the first. */
  readonly offset: number;
  readonly dataCentres: PersistentMap<string, DataCentreSection>;
  readonly hardware: PersistentMap<string, HardwareSection>;
  readonly pools: PersistentMap<string, PoolSection>;
  readonly services: PersistentMap<string, ServiceSection>;
  readonly racks: PersistentMap<string, RackSection>;
  readonly teams: PersistentMap<string, TeamSection>;
  readonly workspaces: PersistentMap<string, WorkspaceSection>;
}

/** Permit to drain a host: its purpose, and when it was given. */
export interface DrainPermit {
  readonly purpose: DrainPurpose;
  readonly waveId: string | null;
  readonly destinationPool: string | null;
  readonly permitOffset: number;
  readonly permittedAt: Date;
}

/** Service state of a host. */
export type HostDuty =
  | { readonly kind: 'in-service' }
  | { readonly kind: 'draining'; readonly permit: DrainPermit }
  | { readonly kind: 'drained'; readonly permit: DrainPermit; readonly drainedAt: Date };

/** A host. It belongs to exactly one pool. */
export interface Host {
  readonly hostId: string;
  readonly address: string;
  readonly rack: string;
  readonly hardware: string;
  readonly pool: string;
  /** When it joined the pool. */
  readonly joinedAt: Date;
  readonly duty: HostDuty;
  readonly presence: HostPresence;
  /** Removed from the configuration; the host is deleted once it is drained. */
  readonly retired: boolean;
}

/** Controller of a pool and its epoch. A controller's command with another epoch is rejected. */
export interface PoolControl {
  readonly processId: string;
  readonly epoch: number;
}

/** Folded state of a pool beyond its configuration. */
export interface PoolState {
  readonly hostIds: PersistentSet<string>;
  /** Hosts that count against the budget, for any reason. */
  readonly absentHostIds: PersistentSet<string>;
  readonly control: PoolControl | null;
}

/** A registered process. */
export interface Member {
  readonly identity: ProcessIdentity;
  readonly registeredAtOffset: number;
}

/** Progress of a wave on one host. */
export type WaveHostProgress =
  | { readonly kind: 'pending' }
  | { readonly kind: 'out'; readonly since: Date }
  | { readonly kind: 'done'; readonly at: Date }
  | { readonly kind: 'skipped'; readonly reason: string };

/** A maintenance wave with its progress on each host. */
export interface Wave {
  readonly waveId: string;
  readonly state: 'running' | 'paused' | 'finished';
  readonly reason: string;
  readonly startedAt: Date;
  readonly finishedAt: Date | null;
  readonly hosts: PersistentOrderedMap<string, WaveHostProgress>;
  readonly pendingCount: number;
  readonly outCount: number;
}

/** Status of a job: waiting, placed on a host or ended. */
export type JobStatus =
  | { readonly kind: 'waiting'; readonly since: Date }
  | { readonly kind: 'placed'; readonly hostId: string; readonly leaseId: string; readonly at: Date }
  | { readonly kind: 'ended'; readonly end: JobEnd; readonly at: Date };

/** A job with its status and the number of its placements so far. */
export interface Job {
  readonly request: JobRequest;
  readonly status: JobStatus;
  readonly placements: number;
}

/** Resources allocated to jobs. */
export interface Allocation {
  readonly cores: number;
  readonly accelerators: number;
  readonly memoryGigabytes: number;
}

/** One decision in the history of a subject. */
export interface HistoryEntry {
  readonly offset: number;
  readonly at: Date;
  readonly issuer: string;
  readonly text: string;
}

/** The verdict on a command, at the offset where it was folded. */
export interface Verdict {
  readonly offset: number;
  readonly accepted: boolean;
  readonly result: ResultName | null;
  readonly detail: string;
}

/** State folded from the stream `fleet`. */
export interface FleetState {
  readonly nextOffset: number;
  readonly configuration: ConfigurationState;
  readonly hosts: PersistentMap<string, Host>;
  readonly pools: PersistentMap<string, PoolState>;
  readonly members: PersistentMap<string, Member>;
  /** Offset of the last change of the set of gateways. */
  readonly gatewayViewOffset: number;
  readonly waves: PersistentMap<string, Wave>;
  readonly jobs: PersistentMap<string, Job>;
  readonly waitingJobs: PersistentOrderedSet<string>;
  readonly hostAllocations: PersistentMap<string, Allocation>;
  readonly teamAllocations: PersistentMap<string, Allocation>;
  /** Verdicts by command id, oldest first, bounded. */
  readonly verdicts: PersistentOrderedMap<string, Verdict>;
  /** Commands decided before this offset are rejected, as their verdicts may have been dropped. */
  readonly verdictsSinceOffset: number;
  readonly history: PersistentMap<string, PersistentList<HistoryEntry>>;
}

/** A claimed idempotency key, with its claimant and outcome. */
export interface KeyState {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly processId: string;
  readonly incarnation: string;
  readonly claimedAt: Date;
  readonly madeAt: Date | null;
  readonly outcome: KeyOutcome | null;
}

/** State folded from the stream `keys`. */
export interface KeysState {
  readonly nextOffset: number;
  /** Keys that carry a creation time, by hash, oldest claim first. They expire. */
  readonly timedKeys: PersistentOrderedMap<string, KeyState>;
  /** Keys without a creation time, by hash. They never expire. */
  readonly untimedKeys: PersistentMap<string, KeyState>;
  /** Keys made at or before this time are rejected, as they may have expired. */
  readonly forgottenThrough: Date;
}

/** State derived only from the log. */
export interface FoldState {
  readonly fleet: FleetState;
  readonly keys: KeysState;
}

/** Returns the state before the first record. */
export function emptyFoldState(): FoldState {
  return {
    fleet: {
      nextOffset: 0,
      configuration: {
        version: 0,
        offset: -1,
        dataCentres: PersistentMap(),
        hardware: PersistentMap(),
        pools: PersistentMap(),
        services: PersistentMap(),
        racks: PersistentMap(),
        teams: PersistentMap(),
        workspaces: PersistentMap(),
      },
      hosts: PersistentMap(),
      pools: PersistentMap(),
      members: PersistentMap(),
      gatewayViewOffset: -1,
      waves: PersistentMap(),
      jobs: PersistentMap(),
      waitingJobs: PersistentOrderedSet(),
      hostAllocations: PersistentMap(),
      teamAllocations: PersistentMap(),
      verdicts: PersistentOrderedMap(),
      verdictsSinceOffset: 0,
      history: PersistentMap(),
    },
    keys: {
      nextOffset: 0,
      timedKeys: PersistentOrderedMap(),
      untimedKeys: PersistentMap(),
      forgottenThrough: new Date(0),
    },
  };
}
