/** Checks across sections: references to missing sections, duplicate hosts, and budgets larger than their pool. */
import { faultOf, type SettingsFault } from './fault.js';
import type { FleetFile } from './schema.js';

/** A setting that names another section. */
interface Reference {
  readonly place: string;
  readonly name: string;
  readonly kind: 'pools' | 'hardware' | 'data-centres';
}

function listReferences(fleet: FleetFile): readonly Reference[] {
  const ofServices = Object.entries(fleet.services).map(([name, service]): Reference => ({
    place: `services.${name}.pool`,
    name: service.pool,
    kind: 'pools',
  }));
  const ofRacks = Object.entries(fleet.racks).flatMap(([name, rack]): readonly Reference[] => [
    { place: `racks.${name}.pool`, name: rack.pool, kind: 'pools' },
    { place: `racks.${name}.hardware`, name: rack.hardware, kind: 'hardware' },
    { place: `racks.${name}.data-centre`, name: rack['data-centre'], kind: 'data-centres' },
  ]);
  return [...ofServices, ...ofRacks];
}

function findMissingReferences(fleet: FleetFile, file: string): readonly SettingsFault[] {
  return listReferences(fleet)
    .filter((reference) => !(reference.name in fleet[reference.kind]))
    .map((reference) =>
      faultOf(
        'missingReference',
        file,
        reference.place,
        `'${reference.name}' is not one of the ${reference.kind}`,
        `Add [${reference.kind}.${reference.name}] or correct the name`,
      ),
    );
}

/** A host entry with its key path and the pool of its rack. */
interface HostSetting {
  readonly place: string;
  readonly id: string;
  readonly address: string;
  readonly pool: string;
}

function listHosts(fleet: FleetFile): readonly HostSetting[] {
  return Object.entries(fleet.racks).flatMap(([name, rack]) =>
    rack.hosts.map((host, index) => ({ ...host, place: `racks.${name}.hosts.${index}`, pool: rack.pool })),
  );
}

function findDuplicateHosts(
  hosts: readonly HostSetting[],
  key: 'id' | 'address',
  file: string,
): readonly SettingsFault[] {
  const firstPlaces = new Map<string, string>();
  return hosts.flatMap((host) => {
    const earlier = firstPlaces.get(host[key]);
    if (earlier === undefined) {
      firstPlaces.set(host[key], host.place);
      return [];
    }
    const detail = `The host ${key} '${host[key]}' is already listed at ${earlier}`;
    return [
      faultOf(
        'duplicateHost',
        file,
        `${host.place}.${key}`,
        detail,
        'A host belongs to one rack and one pool',
      ),
    ];
  });
}

/** Finds digests that are listed twice: the caller of such a key would belong to two workspaces. */
function findDuplicateKeys(fleet: FleetFile, file: string): readonly SettingsFault[] {
  const places = new Map<string, string>();
  return Object.entries(fleet.workspaces).flatMap(([name, workspace]) =>
    workspace['key-digests'].flatMap((digest, index) => {
      const place = `workspaces.${name}.key-digests.${index}`;
      const earlier = places.get(digest);
      if (earlier === undefined) {
        places.set(digest, place);
        return [];
      }
      const detail = `The key is already listed at ${earlier}`;
      return [faultOf('duplicateKey', file, place, detail, 'A key belongs to one workspace')];
    }),
  );
}

function findBudgetFaults(
  fleet: FleetFile,
  hosts: readonly HostSetting[],
  file: string,
): readonly SettingsFault[] {
  return Object.entries(fleet.pools).flatMap(([name, pool]) => {
    const size = hosts.filter((host) => host.pool === name).length;
    const budget = pool['maximum-absent-hosts'];
    const reserve = pool['failure-reserve-hosts'];
    const faults: SettingsFault[] = [];
    if (budget > 0 && budget >= size) {
      faults.push(
        faultOf(
          'budgetLargerThanPool',
          file,
          `pools.${name}.maximum-absent-hosts`,
          `Expected fewer than the pool's ${size} hosts, found ${budget}`,
          'Lower the budget or add hosts',
        ),
      );
    }
    if (reserve > budget) {
      faults.push(
        faultOf(
          'budgetLargerThanPool',
          file,
          `pools.${name}.failure-reserve-hosts`,
          `Expected at most maximum-absent-hosts, ${budget}, found ${reserve}`,
          'The reserve is a part of the budget',
        ),
      );
    }
    return faults;
  });
}

/** Returns every inconsistency between the sections of a fleet file. */
export function checkReferences(fleet: FleetFile, file: string): readonly SettingsFault[] {
  const hosts = listHosts(fleet);
  return [
    ...findMissingReferences(fleet, file),
    ...findDuplicateHosts(hosts, 'id', file),
    ...findDuplicateHosts(hosts, 'address', file),
    ...findDuplicateKeys(fleet, file),
    ...findBudgetFaults(fleet, hosts, file),
  ];
}
