/** Validated configuration that operators publish, with one section per named entity. */

/** A data centre, the largest failure domain. */
export interface DataCentreSection {
  readonly region: string;
}

/** Resources and features of the hosts of one hardware kind. */
export interface HardwareSection {
  readonly cores: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
  /** Feature versions by feature name; a feature without versions has version 1. */
  readonly features: Readonly<Record<string, number>>;
}

/** A pool of hosts and its availability budget. */
export interface PoolSection {
  /** Maximum number of hosts that may be absent at once, for any reason. */
  readonly maximumAbsentHosts: number;
  /** Part of `maximumAbsentHosts` that planned drains leave free for host failures. */
  readonly failureReserveHosts: number;
  /** Maximum number of hosts of one rack that planned drains take out of service at once. */
  readonly maximumDrainedPerRack: number;
  readonly slotsPerHost: number;
  readonly connectionsPerHost: number;
  /** Slots, counted over the whole pool, that long work may not use. */
  readonly slotsReservedForShort: number;
  /** Minimum number of hosts that the pool keeps when it lends hosts to other pools; null if it lends none. */
  readonly minimumHosts: number | null;
}

/** A service, which callers name in the request path. */
export interface ServiceSection {
  readonly pool: string;
  readonly defaultDeadlineMilliseconds: number;
  /** Run time above which work counts as long. */
  readonly longWorkThresholdMilliseconds: number;
  /** Maximum number of requests that wait for a slot at once; further ones are refused. */
  readonly maximumWaiting: number;
  /** Maximum bytes of a request body that are kept for a retry. */
  readonly replayableBodyBytes: number;
  /** Time without a first response byte after which repeatable short work is retried on another target. */
  readonly silenceTimeoutMilliseconds: number;
}

/** One host of a rack. */
export interface HostEntry {
  readonly id: string;
  /** IP address and port to which work for the host is sent, such as `127.0.0.1:9000`. */
  readonly address: string;
}

/** A rack, the smaller failure domain, with its hosts. */
export interface RackSection {
  readonly dataCentre: string;
  /** The pool that new hosts of the rack join. */
  readonly pool: string;
  readonly hardware: string;
  readonly hosts: readonly HostEntry[];
}

/** Quotas of a team that submits jobs. */
export interface TeamSection {
  readonly coresQuota: number;
  readonly acceleratorsQuota: number;
}

/** A workspace: callers that share keys, a share of the capacity and a limit on what they run. Holds no plain key. */
export interface WorkspaceSection {
  /** SHA-256 digests of the keys, as 64 hexadecimal digits each. */
  readonly keyDigests: readonly string[];
  readonly weight: number;
  /** Limits on what the workspace runs at once; null for no limit. */
  readonly maximumCores: number | null;
  readonly maximumMemoryGigabytes: number | null;
  readonly maximumAccelerators: number | null;
}

/** All sections, by section kind and name. */
export interface Configuration {
  readonly dataCentres: Readonly<Record<string, DataCentreSection>>;
  readonly hardware: Readonly<Record<string, HardwareSection>>;
  readonly pools: Readonly<Record<string, PoolSection>>;
  readonly services: Readonly<Record<string, ServiceSection>>;
  readonly racks: Readonly<Record<string, RackSection>>;
  readonly teams: Readonly<Record<string, TeamSection>>;
  readonly workspaces: Readonly<Record<string, WorkspaceSection>>;
}

/** Name of a section kind. */
export type SectionKind = keyof Configuration;

/** Section kinds in the order in which changes are applied: referenced sections come before those that refer to them. */
export const SECTION_KINDS: readonly SectionKind[] = [
  'dataCentres',
  'hardware',
  'pools',
  'services',
  'racks',
  'teams',
  'workspaces',
];

/** A change to one section in a published configuration: set, or removed if `section` is null. */
export type SectionChange = {
  readonly [K in SectionKind]: {
    readonly sectionKind: K;
    readonly name: string;
    readonly section: Configuration[K][string] | null;
  };
}[SectionKind];

/** Configuration before the first publication. */
export const EMPTY_CONFIGURATION: Configuration = {
  dataCentres: {},
  hardware: {},
  pools: {},
  services: {},
  racks: {},
  teams: {},
  workspaces: {},
};
