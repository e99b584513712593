/** Logs how far an owner is able to act: whether it has reached its workers after the claim, and whether it may give orders. */
import type { ServiceStep } from '../state/effect.js';
import type { ServiceState } from '../state/service-state.js';
import { updateService } from '../state/update.js';

/** Time after the claim at which the number of reached workers is logged even if some are missing. */
const REACHING_MILLISECONDS = 5_000;

function* reportReachedWorkers(state: ServiceState): ServiceStep<ServiceState> {
  const { hasReportedWorkers } = state.ownershipReport;
  if (hasReportedWorkers || state.workers.isEmpty()) return state;
  const milliseconds = Math.round(state.now - state.claimedAt);
  const workers = state.workers.size;
  const reached = state.workers.count(({ hasAcknowledgedEpoch }) => hasAcknowledgedEpoch);
  if (reached < workers && milliseconds < REACHING_MILLISECONDS) return state;
  yield { kind: 'log', decision: 'workersReached', fields: { reached, workers, milliseconds } };
  return updateService(state, { ownershipReport: { ...state.ownershipReport, hasReportedWorkers: true } });
}

function* reportProof(state: ServiceState): ServiceStep<ServiceState> {
  const sinceProof = state.now - state.provenAt;
  const isProven = sinceProof < state.parameters.ownershipProofMilliseconds;
  if (isProven === state.ownershipReport.isProven) return state;
  const decision = isProven ? 'ownershipProven' : 'ownershipUnproven';
  yield { kind: 'log', decision, fields: { sinceProofMilliseconds: Math.round(sinceProof) } };
  return updateService(state, { ownershipReport: { ...state.ownershipReport, isProven } });
}

/** Logs what has changed since the last call. */
export function* reportOwnership(state: ServiceState): ServiceStep<ServiceState> {
  return yield* reportProof(yield* reportReachedWorkers(state));
}
