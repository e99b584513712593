/**
 * Stores usage reports of the platform for hosts with unsettled slots, and evaluates them once they are
 * conclusive.
 */
import { addMilliseconds, millisecondsBetween } from '@baobabdeck/types';
import type { HostUsage } from '../event.js';
import type { State } from '../state.js';
import type { PendingUsageReport, PoolDispatch } from './dispatch-state.js';
import { settleByUsage, USAGE_CLOCK_MARGIN_MILLISECONDS } from './grants.js';

/** Time after which a report that could not be evaluated is dropped in favour of the next one. */
const REPORT_TIMEOUT_MILLISECONDS = 5_000;

function addUsageReport(dispatch: PoolDispatch, hostId: string, report: PendingUsageReport): PoolDispatch {
  if (dispatch.unsettledCount === 0 || dispatch.pendingUsageReports.has(hostId)) return dispatch;
  return { ...dispatch, pendingUsageReports: dispatch.pendingUsageReports.set(hostId, report) };
}

/** Stores the usage reports of the platform until they can be evaluated. */
export function addUsageReports(state: State, asOf: Date, usage: readonly HostUsage[]): State {
  return usage.reduce((current: State, { hostId, runningRequests }) => {
    const pool = current.fold.fleet.hosts.get(hostId)?.pool;
    const dispatch = pool === undefined ? undefined : current.dispatch.get(pool);
    if (pool === undefined || dispatch === undefined) return current;
    const changed = addUsageReport(dispatch, hostId, {
      asOf,
      runningCount: runningRequests,
      receivedAt: state.now,
    });
    return changed === dispatch ? current : { ...current, dispatch: current.dispatch.set(pool, changed) };
  }, state);
}

/**
 * Returns whether a gateway has answered since a report was received. If so, it has released every slot whose
 * work ended before the report.
 */
function hasAnsweredSince(state: State, holder: string, receivedAt: Date): boolean {
  if (holder === state.identity.processId) return true;
  const answeredSince = state.membership.peers.get(holder)?.answeredSince ?? null;
  return answeredSince !== null && answeredSince > receivedAt;
}

function canEvaluate(
  state: State,
  dispatch: PoolDispatch,
  hostId: string,
  report: PendingUsageReport,
): boolean {
  return dispatch.grants.every(
    (grant) =>
      grant.hostId !== hostId ||
      grant.unsettledSince !== null ||
      addMilliseconds(grant.grantedAt, USAGE_CLOCK_MARGIN_MILLISECONDS) >= report.asOf ||
      hasAnsweredSince(state, grant.holder, report.receivedAt),
  );
}

/** Evaluates every report that can be evaluated now, and drops the stale ones. */
export function evaluateUsageReports(state: State, dispatch: PoolDispatch): PoolDispatch {
  return dispatch.pendingUsageReports.reduce((view, report, hostId) => {
    if (canEvaluate(state, view, hostId, report)) {
      const settled = settleByUsage(view, hostId, report.runningCount, report.asOf);
      return { ...settled, pendingUsageReports: settled.pendingUsageReports.remove(hostId) };
    }
    const isStale = millisecondsBetween(report.receivedAt, state.now) > REPORT_TIMEOUT_MILLISECONDS;
    return isStale ? { ...view, pendingUsageReports: view.pendingUsageReports.remove(hostId) } : view;
  }, dispatch);
}
