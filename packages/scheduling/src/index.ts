/** The pure scheduler: placement of one service's tasks on workers, and of hosts in pools. */
export * from './model/job.js';
export type { QueueReference } from './model/queue.js';
export * from './model/records.js';
export * from './model/resources.js';
export type * from './model/service-report.js';
export * from './model/worker.js';
export * from './model/workspace.js';
export type { SchedulingDecision, SchedulingFields, ServiceEffect, ServiceStep } from './state/effect.js';
export type {
  PaceOutcome,
  RunAddress,
  ServiceEvent,
  ServiceEventOf,
  StartOutcome,
  StopOutcome,
} from './state/event.js';
export { startSizeOf } from './decide/shares/oversized-starts.js';
export { selectWithheldBy, selectWorkspaceUse } from './decide/shares/workspace-limits.js';
export { selectServiceReport } from './service/demand.js';
export { selectReleaseProgress } from './service/release.js';
export { selectSlowedWorkers, selectWorstPairs, type WorstPair } from './decide/interference/worst-pairs.js';
export type { SchedulingParameters } from './state/parameters.js';
export { reduceService } from './service/reduce.js';
export { restoreService, type RestoreInput } from './service/restore.js';
export { selectQueueStatistics, type QueueStatistics } from './service/queue-statistics.js';
export {
  isJobOfOtherWorkspace,
  selectForwardedTo,
  selectForwardingTargets,
  selectFailureReason,
  selectJobStatus,
  selectPendingCount,
} from './service/selectors.js';
export type { Instant } from './model/instant.js';
export { stepRequestOf } from './model/step-needs.js';
export type { JobState, ServiceState, StepState, TaskState } from './state/service-state.js';
export type { FleetDecision, FleetEffect, FleetEvent, FleetStep, HostOrderOutcome } from './fleet/event.js';
export { reduceFleet, restoreFleet, type FleetRestoreParts } from './fleet/reduce.js';
export type {
  FleetParameters,
  FleetRecord,
  FleetState,
  HostAction,
  PoolConfiguration,
  WaveStatus,
} from './fleet/state.js';
export { grantedServices, selectServiceGrants } from './fleet/grants.js';
export { mayOrder } from './fleet/orders.js';
export { selectServiceHostRequests, type ServiceHostRequests } from './fleet/requested-actions.js';
