/** Controllers remove processes that fell silent and share the pools among them. */
import type { Step } from '../effect.js';
import type { Member } from '../fold/fold-state.js';
import { isSilent, selectPeers } from '../membership/index.js';
import { pickByRendezvous } from '../routing/rendezvous.js';
import type { State } from '../state.js';
import { propose } from './propose.js';

/** Members up to which a lone controller may remove the others. */
const SMALL_SYSTEM_MEMBERS = 2;

function hears(state: State, member: Member): boolean {
  return !isSilent(state, member, state.parameters.lapseTimeoutMilliseconds);
}

/** The controllers that this process hears, itself included. */
export function selectLiveControllers(state: State): readonly string[] {
  return [...state.fold.fleet.members.values()]
    .filter((member) => member.identity.role === 'controller')
    .filter((member) => member.identity.processId === state.identity.processId || hears(state, member))
    .map((member) => member.identity.processId);
}

/** Whether this process hears most of the members: one that is cut off removes nobody. */
function hearsMost(state: State): boolean {
  const total = state.fold.fleet.members.size;
  const heard = selectPeers(state).filter((member) => hears(state, member)).length;
  return total <= SMALL_SYSTEM_MEMBERS || (heard + 1) * 2 > total;
}

/** Removes members that were silent for too long. */
export function* removeSilentMembers(state: State): Step<State> {
  if (!hearsMost(state)) return state;
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

/** Claims pools whose controller does not take part any more. */
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

/** The pools that this controller decides for, with the epoch of each. */
export function selectOwnPools(state: State): ReadonlyMap<string, number> {
  const own = new Map<string, number>();
  for (const [pool, { control }] of state.fold.fleet.pools) {
    if (control?.processId === state.identity.processId) own.set(pool, control.epoch);
  }
  return own;
}
