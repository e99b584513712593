/** Converts a validated fleet file to the configuration that the core folds. */
import type { Configuration } from '@baobabdeck/types';
import type { FleetFile } from './schema.js';

function mapValues<A, B>(
  table: Readonly<Record<string, A>>,
  convert: (value: A) => B,
): Readonly<Record<string, B>> {
  return Object.fromEntries(Object.entries(table).map(([name, value]) => [name, convert(value)]));
}

/** Returns the configuration that a validated fleet file describes. */
export function toConfiguration(fleet: FleetFile): Configuration {
  return {
    dataCentres: mapValues(fleet['data-centres'], (section) => ({ region: section.region })),
    hardware: mapValues(fleet.hardware, (section) => ({
      cores: section.cores,
      memoryGigabytes: section['memory-gb'],
      accelerators: section.accelerators,
      features: section.features,
    })),
    pools: mapValues(fleet.pools, (section) => ({
      maximumAbsentHosts: section['maximum-absent-hosts'],
      failureReserveHosts: section['failure-reserve-hosts'],
      maximumDrainedPerRack: section['maximum-drained-per-rack'],
      slotsPerHost: section['slots-per-host'],
      connectionsPerHost: section['connections-per-host'],
      slotsReservedForShort: section['slots-reserved-for-short'],
      minimumHosts: section['minimum-hosts'],
    })),
    services: mapValues(fleet.services, (section) => ({
      pool: section.pool,
      defaultDeadlineMilliseconds: section['default-deadline-ms'],
      longWorkThresholdMilliseconds: section['long-work-threshold-ms'],
      maximumWaiting: section['maximum-waiting'],
      replayableBodyBytes: section['replayable-body-bytes'],
      silenceTimeoutMilliseconds: section['silence-timeout-ms'],
    })),
    racks: mapValues(fleet.racks, (section) => ({
      dataCentre: section['data-centre'],
      pool: section.pool,
      hardware: section.hardware,
      hosts: section.hosts,
    })),
    teams: mapValues(fleet.teams, (section) => ({
      coresQuota: section['cores-quota'],
      acceleratorsQuota: section['accelerators-quota'],
    })),
    workspaces: mapValues(fleet.workspaces, (section) => ({
      keyDigests: section['key-digests'],
      weight: section.weight,
      maximumCores: section['maximum-cores'],
      maximumMemoryGigabytes: section['maximum-memory-gb'],
      maximumAccelerators: section['maximum-accelerators'],
    })),
  };
}
