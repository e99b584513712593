/** Controllers take hosts out of service, through reboot or move, and back. */
import { addMilliseconds, millisecondsBetween } from '@baobabdeck/types';
import { USAGE_CLOCK_MARGIN_MILLISECONDS } from '../dispatch/grants.js';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import type { DrainPermit, Host } from '../fold/fold-state.js';
import { isSilent } from '../membership/index.js';
import type { State } from '../state.js';
import { propose } from './propose.js';

/** Time after which a reboot that did not happen is asked for again. */
const REBOOT_AGAIN_MILLISECONDS = 60_000;

/** The platform's host list was read. */
export function handleHostList(state: State, event: EventOf<'host-list-read'>): State {
  const known = state.control.hostListAsOf;
  if (known !== null && known >= event.asOf) return state;
  const sightings = state.control.sightings.withMutations((table) => {
    event.hosts.forEach(({ hostId, presence, bootedAt }) => table.set(hostId, { presence, bootedAt }));
  });
  const unrecordedHostIds = state.control.unrecordedHostIds.union(event.hosts.map((host) => host.hostId));
  const control = {
    ...state.control,
    sightings,
    unrecordedHostIds,
    hostListAsOf: event.asOf,
  };
  return { ...state, control };
}

/** Forgets hosts whose presence is recorded as the list shows it. */
export function dropRecorded(state: State): State {
  const { hosts } = state.fold.fleet;
  const unrecordedHostIds = state.control.unrecordedHostIds.filter(
    (hostId) => hosts.get(hostId)?.presence !== state.control.sightings.get(hostId)?.presence,
  );
  if (unrecordedHostIds.size === state.control.unrecordedHostIds.size) return state;
  return { ...state, control: { ...state.control, unrecordedHostIds } };
}

/** The platform told how much runs on some hosts. */
export function handleUsage(state: State, event: EventOf<'usage-read'>): State {
  const usage = state.control.usage.withMutations((table) => {
    event.usage.forEach(({ hostId, runningRequests }) =>
      table.set(hostId, { asOf: event.asOf, running: runningRequests }),
    );
  });
  return { ...state, control: { ...state.control, usage } };
}

/** Age of the host list; beyond every limit before the first. */
export function selectHostListAge(state: State): number {
  const { hostListAsOf } = state.control;
  return hostListAsOf === null
    ? Number.MAX_SAFE_INTEGER
    : Math.max(0, millisecondsBetween(hostListAsOf, state.now));
}

/** Records what the host list shows of a host, where it changed. */
export function* recordPresence(state: State, host: Host): Step<State> {
  const sighting = state.control.sightings.get(host.hostId);
  if (sighting === undefined || sighting.presence === host.presence) return state;
  const body = { kind: 'host-presence-observed', hostId: host.hostId, presence: sighting.presence } as const;
  return yield* propose(state, `presence/${host.hostId}`, body);
}

function gatewaysAreDone(state: State, host: Host, permit: DrainPermit): boolean {
  return [...state.fold.fleet.members.values()]
    .filter((member) => member.identity.role === 'gateway')
    .every((member) => {
      const peer = state.membership.peers.get(member.identity.processId);
      const heard =
        peer?.incarnation === member.identity.incarnation &&
        !isSilent(state, member, state.parameters.lapseTimeoutMilliseconds);
      return (
        peer !== undefined &&
        heard &&
        peer.fleetOffset > permit.permitOffset &&
        !peer.drainingInFlight.has(host.hostId)
      );
    });
}

function platformSeesNothing(state: State, host: Host, permit: DrainPermit): boolean {
  const usage = state.control.usage.get(host.hostId);
  if (usage === undefined || usage.running > 0) return false;
  return usage.asOf > addMilliseconds(permit.permittedAt, USAGE_CLOCK_MARGIN_MILLISECONDS);
}

function hasNoJobs(state: State, host: Host): boolean {
  const taken = state.fold.fleet.hostAllocations.get(host.hostId);
  return (
    taken === undefined || (taken.cores === 0 && taken.accelerators === 0 && taken.memoryGigabytes === 0)
  );
}

function* finishDrain(state: State, host: Host, epoch: number): Step<State> {
  if (host.duty.kind !== 'draining') return state;
  const { permit } = host.duty;
  // A failed host has nothing left to wait for but its return.
  const isDown = host.presence === 'failed';
  const empty = platformSeesNothing(state, host, permit) || isDown;
  if (!empty || !gatewaysAreDone(state, host, permit) || !hasNoJobs(state, host)) return state;
  return yield* propose(state, `drained/${host.hostId}`, {
    kind: 'host-drained',
    hostId: host.hostId,
    epoch,
  });
}

function* reboot(state: State, host: Host): Step<State> {
  const askedAt = state.control.rebootAskedAt.get(host.hostId);
  const goesDown = askedAt !== undefined && state.control.sightings.get(host.hostId)?.presence !== 'live';
  if (goesDown) return state;
  if (askedAt !== undefined && addMilliseconds(askedAt, REBOOT_AGAIN_MILLISECONDS) > state.now) return state;
  yield { kind: 'reboot-host', hostId: host.hostId };
  const rebootAskedAt = state.control.rebootAskedAt.set(host.hostId, state.now);
  return { ...state, control: { ...state.control, rebootAskedAt } };
}

function hasRebooted(state: State, host: Host, drainedAt: Date): boolean {
  const sighting = state.control.sightings.get(host.hostId);
  return sighting !== undefined && sighting.presence === 'live' && sighting.bootedAt > drainedAt;
}

function* finishDuty(state: State, host: Host, epoch: number): Step<State> {
  if (host.duty.kind !== 'drained') return state;
  const { permit, drainedAt } = host.duty;
  if (permit.purpose === 'operator') return state;
  if (permit.purpose === 'maintenance' && !hasRebooted(state, host, drainedAt)) {
    return yield* reboot(state, host);
  }
  return yield* propose(state, `returned/${host.hostId}`, {
    kind: 'host-returned',
    hostId: host.hostId,
    epoch,
  });
}

/** Takes one host a step further on its way out of service and back. */
export function* advanceHost(state: State, host: Host, epoch: number): Step<State> {
  const seen = yield* recordPresence(state, host);
  const drained = yield* finishDrain(seen, host, epoch);
  return yield* finishDuty(drained, host, epoch);
}

/** Hosts of own pools that drain: the platform has to be asked what still runs there. */
export function selectDrainingHostIds(
  state: State,
  ownPools: ReadonlyMap<string, number>,
): readonly string[] {
  return [...ownPools.keys()].flatMap((pool) => {
    const absent = state.fold.fleet.pools.get(pool)?.absentHostIds ?? [];
    return [...absent].filter((hostId) => state.fold.fleet.hosts.get(hostId)?.duty.kind === 'draining');
  });
}
