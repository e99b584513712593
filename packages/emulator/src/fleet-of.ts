/** Configurations of any size for runs in virtual time. */
import type { PoolSection, RequestDescription, SectionChange, ServiceSection } from '@baobabdeck/types';

/** A pool with the service of the same name. */
export interface EmulatedPool {
  readonly name: string;
  readonly hosts: number;
  readonly pool?: Partial<PoolSection>;
  readonly service?: Partial<ServiceSection>;
}

const HOSTS_PER_RACK = 4;

const POOL: PoolSection = {
  maximumAbsentHosts: 2,
  failureReserveHosts: 1,
  maximumDrainedPerRack: 1,
  slotsPerHost: 8,
  connectionsPerHost: 64,
  slotsReservedForShort: 0,
  minimumHosts: null,
};

const SERVICE: Omit<ServiceSection, 'pool'> = {
  defaultDeadlineMilliseconds: 30_000,
  longWorkThresholdMilliseconds: 1_000,
  maximumWaiting: 10_000,
  replayableBodyBytes: 65_536,
  silenceTimeoutMilliseconds: 3_000,
};

function racksOf({ name, hosts }: EmulatedPool): readonly SectionChange[] {
  return Array.from({ length: Math.ceil(hosts / HOSTS_PER_RACK) }, (_, rack) => {
    const first = rack * HOSTS_PER_RACK;
    const size = Math.min(HOSTS_PER_RACK, hosts - first);
    const entries = Array.from({ length: size }, (__, index) => {
      const number = first + index + 1;
      return { id: `${name}-${number}`, address: `${name}-${number}:80` };
    });
    return {
      sectionKind: 'racks',
      name: `${name}-rack-${rack + 1}`,
      section: { dataCentre: `centre-${rack % 4}`, pool: name, hardware: 'worker', hosts: entries },
    };
  });
}

/** The sections of a fleet with these pools. */
export function fleetOf(pools: readonly EmulatedPool[]): readonly SectionChange[] {
  return [
    {
      sectionKind: 'hardware',
      name: 'worker',
      section: { cores: 16, memoryGigabytes: 64, accelerators: 0, features: {} },
    },
    { sectionKind: 'teams', name: 'everyone', section: { coresQuota: 1_000_000, acceleratorsQuota: 0 } },
    ...pools.flatMap((pool): readonly SectionChange[] => [
      { sectionKind: 'pools', name: pool.name, section: { ...POOL, ...pool.pool } },
      { sectionKind: 'services', name: pool.name, section: { ...SERVICE, pool: pool.name, ...pool.service } },
      ...racksOf(pool),
    ]),
  ];
}

/** A plain request, with what a test or experiment changes of it. */
export function requestOf(
  requestId: string,
  service: string,
  changes: Partial<RequestDescription> = {},
): RequestDescription {
  return {
    requestId,
    service,
    caller: 'caller',
    workKind: `GET ${service}/work`,
    repeatable: true,
    needs: [],
    deadlineMilliseconds: null,
    hint: null,
    keyHash: null,
    fingerprint: '',
    keyMadeAt: null,
    ...changes,
  };
}
