/** Removes unresponsive processes and assigns each pool to a controller. */
import type { Step } from '../effect.js';
import type { Member } from '../fold/fold-state.js';
import { isSilent, selectPeers } from '../membership/index.js';
import { pickByRendezvous } from '../routing/rendezvous.js';
import type { State } from '../state.js';
import { propose } from './propose.js';

/** Number of members up to which a controller may remove others without contact to a majority. */
const SMALL_SYSTEM_MEMBERS = 2;

function isResponsive(state: State, member: Member): boolean {
  return !isSilent(state, member, state.parameters.lapseTimeoutMilliseconds);
}

/** Returns the ids of the controllers that send heartbeats to this process, itself included. */
export function selectLiveControllers(state: State): readonly string[] {
  return [...state.fold.fleet.members.values()]
    .filter((member) => member.identity.role === 'controller')
    .filter((member) => member.identity.processId === state.identity.processId || isResponsive(state, member))
    .map((member) => member.identity.processId);
}

/** Returns whether heartbeats arrive from a majority of the members, so that an isolated process removes none. */
function isMajorityResponsive(state: State): boolean {
  const total = state.fold.fleet.members.size;
  const heard = selectPeers(state).filter((member) => isResponsive(state, member)).length;
  return total <= SMALL_SYSTEM_MEMBERS || (heard + 1) * 2 > total;
}

/** Proposes the removal of members that sent no heartbeat within the removal timeout. */
export function* removeSilentMembers(state: State): Step<State> {
  if (!isMajorityResponsive(state)) return state;
  const controllers = selectLiveControllers(state);
  let current = state;
  for (const member of selectPeers(state)) {
    const { processId, incarnation } = member.identity;
    const silent = isSilent(state, member, state.parameters.removalTimeoutMilliseconds);
    if (!silent || pickByRendezvous(`remove/${processId}`, controllers) !== state.identity.processId) {
      continue;
    }
    const body = { kind: 'process-removed', processId, incarnation } as const;
    current = yield* propose(current, `remove/${processId}`, body);
  }
  return current;
}

/** Claims pools whose controller is no longer a member. */
export function* claimPools(state: State): Step<State> {
  const controllers = selectLiveControllers(state);
  let current = state;
  for (const [pool, { control }] of state.fold.fleet.pools) {
    if (control !== null && state.fold.fleet.members.has(control.processId)) continue;
    if (pickByRendezvous(pool, controllers) !== state.identity.processId) continue;
    const body = { kind: 'pool-control-claimed', pool, epoch: (control?.epoch ?? 0) + 1 } as const;
    current = yield* propose(current, `control/${pool}`, body);
  }
  return current;
}

/** Returns the pools that this controller controls, with the epoch of each. */
export function selectOwnPools(state: State): ReadonlyMap<string, number> {
  const own = new Map<string, number>();
  for (const [pool, { control }] of state.fold.fleet.pools) {
    if (control?.processId === state.identity.processId) own.set(pool, control.epoch);
  }
  return own;
}
