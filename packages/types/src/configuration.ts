/** The checked configuration that operators publish: one section for each named thing. */

/** A data centre, the largest failure domain. */
export interface DataCentreSection {
  readonly region: string;
}

/** What the hosts of one hardware kind can do. */
export interface HardwareSection {
  readonly cores: number;
  readonly memoryGigabytes: number;
  readonly accelerators: number;
  /** Features by name, each with a version; a feature without versions has 1. */
  readonly features: Readonly<Record<string, number>>;
}

/** A pool of hosts and its availability budget. */
export interface PoolSection {
  /** The most hosts that may be absent at once, for any reason. */
  readonly maximumAbsentHosts: number;
  /** Part of the budget that planned work leaves free for hosts that fail meanwhile. */
  readonly failureReserveHosts: number;
  /** The most hosts of one rack that planned work takes out at once. */
  readonly maximumDrainedPerRack: number;
  readonly slotsPerHost: number;
  readonly connectionsPerHost: number;
  /** Slots of the whole pool that long work may not take. */
  readonly slotsReservedForShort: number;
  /** Hosts that the pool keeps when others need some; null when it lends none. */
  readonly minimumHosts: number | null;
}

/** A service that callers name in the path of a request. */
export interface ServiceSection {
  readonly pool: string;
  readonly defaultDeadlineMilliseconds: number;
  /** Work that runs longer than this is long. */
  readonly longWorkThresholdMilliseconds: number;
  /** Requests that may wait at once for a slot; more are refused. */
  readonly maximumWaiting: number;
  /** Bytes of a request body that are kept for a second attempt. */
  readonly replayableBodyBytes: number;
  /** Time without a first response byte after which repeatable short work moves to another target. */
  readonly silenceTimeoutMilliseconds: number;
}

/** One host of a rack. */
export interface HostEntry {
  readonly id: string;
  /** IP number and port of the host's work, as `127.0.0.1:9000`. */
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

/** A team that submits jobs. */
export interface TeamSection {
  readonly coresQuota: number;
  readonly acceleratorsQuota: number;
}

/** Every section, by the kind of thing that it describes. */
export interface Configuration {
  readonly dataCentres: Readonly<Record<string, DataCentreSection>>;
  readonly hardware: Readonly<Record<string, HardwareSection>>;
  readonly pools: Readonly<Record<string, PoolSection>>;
  readonly services: Readonly<Record<string, ServiceSection>>;
  readonly racks: Readonly<Record<string, RackSection>>;
  readonly teams: Readonly<Record<string, TeamSection>>;
}

/** The name of a kind of section. */
export type SectionKind = keyof Configuration;

/** Kinds in the order in which they are applied: what is referred to comes first. */
export const SECTION_KINDS: readonly SectionKind[] = [
  'dataCentres',
  'hardware',
  'pools',
  'services',
  'racks',
  'teams',
];

/** One section that a publication sets, or removes when `section` is null. */
export type SectionChange = {
  readonly [K in SectionKind]: {
    readonly sectionKind: K;
    readonly name: string;
    readonly section: Configuration[K][string] | null;
  };
}[SectionKind];

/** The configuration before anything was published. */
export const EMPTY_CONFIGURATION: Configuration = {
  dataCentres: {},
  hardware: {},
  pools: {},
  services: {},
  racks: {},
  teams: {},
};
