/** Changes that the next placement of tasks takes into account. */
import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { PlacementChanges, ServiceState } from './service-state.js';
import { updateService } from './update.js';

/** The changes right after a placement: none. */
export const NO_PLACEMENT_CHANGES: PlacementChanges = {
  freedWorkerIds: PersistentSet(),
  newlyWaitingSteps: PersistentMap(),
};

/** Marks every worker to be considered when tasks are placed next. */
export function considerEveryWorker(state: ServiceState): ServiceState {
  return updateService(state, {
    placementChanges: { ...state.placementChanges, freedWorkerIds: PersistentSet(state.workers.keys()) },
  });
}
