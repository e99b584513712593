/** Pure reducer over all events of a process; effects are returned as data. */
export type { DecisionFields, DecisionName, Effect, Step } from './effect.js';
export type {
  AppendOutcome,
  Event,
  EventOf,
  FailureStage,
  HostListing,
  HostUsage,
  TaskListing,
} from './event.js';
export * from './explain.js';
export { findDrainObstacle, selectBudgetUse, type BudgetUse } from './fold/budget.js';
export * from './fold/fold-state.js';
export { foldFleetRecord, type FleetStep } from './fold/index.js';
export { foldKeysRecord } from './fold/keys.js';
export { findStateFaults, findTransitionFaults } from './invariants/check-state.js';
export type { InvariantFault, InvariantName } from './invariants/fault.js';
export { isLapsed } from './membership/contact.js';
export { isRegistered, selectPeers } from './membership/index.js';
export { DEFAULT_PARAMETERS, type Parameters } from './parameters.js';
export { reduce } from './reduce.js';
export { initialState, type State } from './state.js';
export * from './selectors.js';
export { planConfigurationChanges } from './plan-configuration.js';
export { restoreFleet, restoreKeys, snapshotFleet, snapshotKeys } from './snapshot/index.js';
