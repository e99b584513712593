/** Folds publications of configuration. */
import { SECTION_KINDS, type RackSection, type SectionChange } from '@baobabdeck/types';
import type { ConfigurationState, FleetState, Host } from './fold-state.js';
import { accept, reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import { recordDecision, subjectKey } from './history.js';
import { emptyPoolState, removeHost, setHost } from './set-host.js';

function applyChange(configuration: ConfigurationState, change: SectionChange): ConfigurationState {
  switch (change.sectionKind) {
    case 'dataCentres':
      return { ...configuration, dataCentres: applySection(configuration.dataCentres, change) };
    case 'hardware':
      return { ...configuration, hardware: applySection(configuration.hardware, change) };
    case 'pools':
      return { ...configuration, pools: applySection(configuration.pools, change) };
    case 'services':
      return { ...configuration, services: applySection(configuration.services, change) };
    case 'racks':
      return { ...configuration, racks: applySection(configuration.racks, change) };
    case 'teams':
      return { ...configuration, teams: applySection(configuration.teams, change) };
    default:
      return { ...configuration, workspaces: applySection(configuration.workspaces, change) };
  }
}

interface Sections<T> {
  readonly set: (name: string, section: T) => this;
  readonly remove: (name: string) => this;
}

function applySection<T, M extends Sections<T>>(
  sections: M,
  change: { readonly name: string; readonly section: T | null },
): M {
  return change.section === null ? sections.remove(change.name) : sections.set(change.name, change.section);
}

function sortBySectionKind(changes: readonly SectionChange[]): readonly SectionChange[] {
  return SECTION_KINDS.flatMap((kind) => changes.filter((change) => change.sectionKind === kind));
}

function findServiceFault(
  configuration: ConfigurationState,
  changes: readonly SectionChange[],
): string | null {
  const removesPools = changes.some((change) => change.sectionKind === 'pools' && change.section === null);
  const names = removesPools
    ? [...configuration.services.keys()]
    : changes.filter((change) => change.sectionKind === 'services').map((change) => change.name);
  const broken = names.find((name) => {
    const service = configuration.services.get(name);
    return service !== undefined && !configuration.pools.has(service.pool);
  });
  return broken === undefined ? null : `Service '${broken}' names a pool that is not configured`;
}

function findRackFault(
  fleet: FleetState,
  configuration: ConfigurationState,
  change: SectionChange,
): string | null {
  if (change.sectionKind !== 'racks' || change.section === null) return null;
  const rack = change.section;
  if (!configuration.pools.has(rack.pool)) {
    return `Rack '${change.name}' names pool '${rack.pool}', which is not configured`;
  }
  if (!configuration.hardware.has(rack.hardware)) {
    return `Rack '${change.name}' names hardware '${rack.hardware}', which is not configured`;
  }
  const taken = rack.hosts.find((entry) => {
    const host = fleet.hosts.get(entry.id);
    return (
      host !== undefined && host.rack !== change.name && configuration.racks.has(host.rack) && !host.retired
    );
  });
  return taken === undefined
    ? null
    : `Host '${taken.id}' stands in rack '${fleet.hosts.get(taken.id)?.rack}' already`;
}

function findPoolFault(fleet: FleetState, change: SectionChange): string | null {
  if (change.sectionKind !== 'pools' || change.section !== null) return null;
  const size = fleet.pools.get(change.name)?.hostIds.size ?? 0;
  return size === 0 ? null : `Pool '${change.name}' has ${size} hosts and cannot be removed`;
}

function newHost(
  entry: RackSection['hosts'][number],
  rackName: string,
  rack: RackSection,
  joinedAt: Date,
): Host {
  return {
    hostId: entry.id,
    address: entry.address,
    rack: rackName,
    hardware: rack.hardware,
    pool: rack.pool,
    joinedAt,
    duty: { kind: 'in-service' },
    presence: 'unknown',
    retired: false,
  };
}

function placeRackHosts(fleet: FleetState, rackName: string, rack: RackSection, at: Date): FleetState {
  return rack.hosts.reduce((state, entry) => {
    const known = state.hosts.get(entry.id);
    if (known === undefined) return setHost(state, newHost(entry, rackName, rack, at));
    return setHost(state, {
      ...known,
      address: entry.address,
      rack: rackName,
      hardware: rack.hardware,
      retired: false,
    });
  }, fleet);
}

function retireHosts(fleet: FleetState, hostIds: readonly string[]): FleetState {
  return hostIds.reduce((state, hostId) => {
    const host = state.hosts.get(hostId);
    if (host === undefined) return state;
    return host.duty.kind === 'drained'
      ? removeHost(state, hostId)
      : setHost(state, { ...host, retired: true });
  }, fleet);
}

function rackHostIds(rack: RackSection | null | undefined): readonly string[] {
  return rack?.hosts.map((host) => host.id) ?? [];
}

interface HostChanges {
  readonly fleet: FleetState;
  readonly hostIds: readonly string[];
}

function applyRackChange(
  changes: HostChanges,
  earlier: ConfigurationState,
  change: SectionChange,
  at: Date,
): HostChanges {
  if (change.sectionKind !== 'racks') return changes;
  const current = rackHostIds(change.section);
  const gone = rackHostIds(earlier.racks.get(change.name)).filter((hostId) => !current.includes(hostId));
  const leaving = gone.filter((hostId) => changes.fleet.hosts.get(hostId)?.rack === change.name);
  const retired = retireHosts(changes.fleet, leaving);
  const fleet = change.section === null ? retired : placeRackHosts(retired, change.name, change.section, at);
  return { fleet, hostIds: [...changes.hostIds, ...leaving, ...current] };
}

function applyPoolChange(fleet: FleetState, change: SectionChange): FleetState {
  if (change.sectionKind !== 'pools') return fleet;
  if (change.section === null) return { ...fleet, pools: fleet.pools.remove(change.name) };
  if (fleet.pools.has(change.name)) return fleet;
  return { ...fleet, pools: fleet.pools.set(change.name, emptyPoolState()) };
}

/** Folds a publication atomically: all its changes are in force from this offset, or none are. */
export function foldConfigurationPublished(
  fleet: FleetState,
  { body, offset, record }: LoggedRecord<'configuration-published'>,
): FoldResult {
  const current = fleet.configuration;
  if (body.expectedVersion !== current.version) {
    return reject(
      'versionMismatch',
      `Expected version ${body.expectedVersion}, found ${current.version}; read it again and repeat`,
    );
  }
  const changes = sortBySectionKind(body.changes);
  const configuration = changes.reduce(applyChange, { ...current, version: current.version + 1, offset });
  const fault =
    findServiceFault(configuration, changes) ??
    changes
      .map((change) => findRackFault(fleet, configuration, change) ?? findPoolFault(fleet, change))
      .find((text) => text !== null);
  if (fault !== undefined && fault !== null) return reject('invalidConfiguration', fault);
  const withPools = changes.reduce(applyPoolChange, { ...fleet, configuration });
  const placed = changes.reduce(
    (state: HostChanges, change) => applyRackChange(state, current, change, record.issuedAt),
    {
      fleet: withPools,
      hostIds: [],
    },
  );
  const text = `Version ${configuration.version} came into force with ${changes.length} changed sections`;
  return accept(
    recordDecision(placed.fleet, subjectKey('configuration', 'current'), record, offset, text),
    placed.hostIds,
  );
}
