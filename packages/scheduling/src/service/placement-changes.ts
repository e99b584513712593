/** What the placing of tasks is owed. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { PlacementChanges, ServiceState } from './state.js';
import { updateService } from './update.js';

/** Nothing has changed since tasks were last placed. */
export const NO_PLACEMENT_CHANGES: PlacementChanges = {
  freedWorkerIds: PersistentSet(),
  newlyWaitingSteps: PersistentMap(),
};

/** Sees to it that every worker is considered when tasks are placed next. */
export function considerEveryWorker(state: ServiceState): ServiceState {
  return updateService(state, {
    placementChanges: { ...state.placementChanges, freedWorkerIds: PersistentSet(state.workers.keys()) },
  });
}
