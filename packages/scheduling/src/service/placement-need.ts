/** What the placing of tasks is owed. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { PlacementNeed, ServiceState } from './state.js';
import { updateService } from './update.js';

/** Nothing has changed since tasks were last placed. */
export const NOTHING_TO_PLACE: PlacementNeed = {
  freedWorkerIds: PersistentSet(),
  freshSteps: PersistentMap(),
};

/** Sees to it that every worker is considered when tasks are placed next. */
export function offerEveryWorker(state: ServiceState): ServiceState {
  return updateService(state, {
    placement: { ...state.placement, freedWorkerIds: PersistentSet(state.workers.keys()) },
  });
}
