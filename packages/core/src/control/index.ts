/** Periodic decisions of a controller. Every decision is a record that the fold may reject. */
import type { Step } from '../effect.js';
import { isLapsed } from '../membership/contact.js';
import { isRegistered } from '../membership/index.js';
import type { State } from '../state.js';
import { advanceHost, dropRecordedPresences, selectDrainingHostIds } from './hosts.js';
import { checkpointOnDrain, placeJobs } from './jobs.js';
import { claimPools, removeSilentMembers, selectOwnPools } from './members.js';
import { lendHosts } from './moves.js';
import { dropExpiredProposals } from './propose.js';
import { advanceWaves } from './waves.js';

function mayDecide(state: State): boolean {
  return state.identity.role === 'controller' && isRegistered(state) && !isLapsed(state) && !state.stopping;
}

/** Returns hosts that may need an action: absent hosts, and hosts whose presence is not recorded yet. */
function selectActionableHostIds(state: State, ownPools: ReadonlyMap<string, number>): ReadonlySet<string> {
  const absent = [...ownPools.keys()].flatMap((pool) => [
    ...(state.fold.fleet.pools.get(pool)?.absentHostIds ?? []),
  ]);
  return new Set([...absent, ...state.control.unrecordedHostIds]);
}

function* advanceHosts(state: State, ownPools: ReadonlyMap<string, number>): Step<State> {
  let current = dropRecordedPresences(state);
  for (const hostId of selectActionableHostIds(current, ownPools)) {
    const host = current.fold.fleet.hosts.get(hostId);
    const epoch = host === undefined ? undefined : ownPools.get(host.pool);
    if (host !== undefined && epoch !== undefined) current = yield* advanceHost(current, host, epoch);
  }
  return current;
}

/** Runs the periodic work of a controller; does nothing in a process that may not decide. */
export function* tickControl(state: State): Step<State> {
  if (!mayDecide(state)) return state;
  const fresh = dropExpiredProposals(state);
  const removed = yield* removeSilentMembers(fresh);
  const claimed = yield* claimPools(removed);
  const ownPools = selectOwnPools(claimed);
  const hostIds = selectDrainingHostIds(claimed, ownPools);
  if (hostIds.length > 0) yield { kind: 'read-usage', hostIds };
  const advanced = yield* advanceHosts(claimed, ownPools);
  const waved = yield* advanceWaves(advanced, ownPools);
  const lent = yield* lendHosts(waved, ownPools);
  yield* checkpointOnDrain(lent, ownPools);
  return yield* placeJobs(lent, ownPools);
}
