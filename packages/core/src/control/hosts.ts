/** Drains hosts, reboots or moves them, and returns them to service. */
import { addMilliseconds, millisecondsBetween } from '@baobabdeck/types';
import { USAGE_CLOCK_MARGIN_MILLISECONDS } from '../dispatch/grants.js';
import type { Step } from '../effect.js';
import type { EventOf } from '../event.js';
import type { DrainPermit, Host } from '../fold/fold-state.js';
import { isSilent } from '../membership/index.js';
import type { State } from '../state.js';
import { propose } from './propose.js';

/** Time after which a reboot that did not happen is requested again. */
const REBOOT_RETRY_MILLISECONDS = 60_000;

/** Records the platform's host list; a list that is not newer than the known one is ignored. */
export function handleHostList(state: State, event: EventOf<'host-list-read'>): State {
  const known = state.control.hostListAsOf;
  if (known !== null && known >= event.asOf) return state;
  const hostObservations = state.control.hostObservations.withMutations((table) => {
    event.hosts.forEach(({ hostId, presence, bootedAt }) => table.set(hostId, { presence, bootedAt }));
  });
  const unrecordedHostIds = state.control.unrecordedHostIds.union(event.hosts.map((host) => host.hostId));
  const control = {
    ...state.control,
    hostObservations,
    unrecordedHostIds,
    hostListAsOf: event.asOf,
  };
  return { ...state, control };
}

/** Removes hosts from the unrecorded set once the log holds the presence that the list shows. */
export function dropRecordedPresences(state: State): State {
  const { hosts } = state.fold.fleet;
  const unrecordedHostIds = state.control.unrecordedHostIds.filter(
    (hostId) => hosts.get(hostId)?.presence !== state.control.hostObservations.get(hostId)?.presence,
  );
  if (unrecordedHostIds.size === state.control.unrecordedHostIds.size) return state;
  return { ...state, control: { ...state.control, unrecordedHostIds } };
}

/** Records the platform's count of running requests on some hosts. */
export function handleUsage(state: State, event: EventOf<'usage-read'>): State {
  const usage = state.control.usage.withMutations((table) => {
    event.usage.forEach(({ hostId, runningRequests }) =>
      table.set(hostId, { asOf: event.asOf, running: runningRequests }),
    );
  });
  return { ...state, control: { ...state.control, usage } };
}

/** Returns the age of the host list in milliseconds; above every limit before the first list is read. */
export function selectHostListAge(state: State): number {
  const { hostListAsOf } = state.control;
  return hostListAsOf === null
    ? Number.MAX_SAFE_INTEGER
    : Math.max(0, millisecondsBetween(hostListAsOf, state.now));
}

/** Proposes a record of a host's presence if the host list differs from the fold. */
export function* recordPresence(state: State, host: Host): Step<State> {
  const observation = state.control.hostObservations.get(host.hostId);
  if (observation === undefined || observation.presence === host.presence) return state;
  const body = {
    kind: 'host-presence-observed',
    hostId: host.hostId,
    presence: observation.presence,
  } as const;
  return yield* propose(state, `presence/${host.hostId}`, body);
}

function areGatewaysDrained(state: State, host: Host, permit: DrainPermit): boolean {
  return [...state.fold.fleet.members.values()]
    .filter((member) => member.identity.role === 'gateway')
    .every((member) => {
      const peer = state.membership.peers.get(member.identity.processId);
      const isHeard =
        peer?.incarnation === member.identity.incarnation &&
        !isSilent(state, member, state.parameters.lapseTimeoutMilliseconds);
      return (
        peer !== undefined &&
        isHeard &&
        peer.fleetOffset > permit.permitOffset &&
        !peer.drainingInFlight.has(host.hostId)
      );
    });
}

function isIdleOnPlatform(state: State, host: Host, permit: DrainPermit): boolean {
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
  // A failed host runs nothing, so the platform's usage count need not be awaited.
  const isDown = host.presence === 'failed';
  const empty = isIdleOnPlatform(state, host, permit) || isDown;
  if (!empty || !areGatewaysDrained(state, host, permit) || !hasNoJobs(state, host)) return state;
  return yield* propose(state, `drained/${host.hostId}`, {
    kind: 'host-drained',
    hostId: host.hostId,
    epoch,
  });
}

function* reboot(state: State, host: Host): Step<State> {
  const sentAt = state.control.rebootRequestedAt.get(host.hostId);
  const isRebooting =
    sentAt !== undefined && state.control.hostObservations.get(host.hostId)?.presence !== 'live';
  if (isRebooting) return state;
  if (sentAt !== undefined && addMilliseconds(sentAt, REBOOT_RETRY_MILLISECONDS) > state.now) return state;
  yield { kind: 'reboot-host', hostId: host.hostId };
  const rebootRequestedAt = state.control.rebootRequestedAt.set(host.hostId, state.now);
  return { ...state, control: { ...state.control, rebootRequestedAt } };
}

function hasRebooted(state: State, host: Host, drainedAt: Date): boolean {
  const observation = state.control.hostObservations.get(host.hostId);
  return observation !== undefined && observation.presence === 'live' && observation.bootedAt > drainedAt;
}

function* returnToService(state: State, host: Host, epoch: number): Step<State> {
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

/** Advances the drain, reboot, move or return of one host. */
export function* advanceHost(state: State, host: Host, epoch: number): Step<State> {
  const seen = yield* recordPresence(state, host);
  const drained = yield* finishDrain(seen, host, epoch);
  return yield* returnToService(drained, host, epoch);
}

/** Returns the draining hosts of the controller's own pools; their usage is read from the platform. */
export function selectDrainingHostIds(
  state: State,
  ownPools: ReadonlyMap<string, number>,
): readonly string[] {
  return [...ownPools.keys()].flatMap((pool) => {
    const absent = state.fold.fleet.pools.get(pool)?.absentHostIds ?? [];
    return [...absent].filter((hostId) => state.fold.fleet.hosts.get(hostId)?.duty.kind === 'draining');
  });
}
