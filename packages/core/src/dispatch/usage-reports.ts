/** Reports of the platform on hosts with unsettled slots, and when they prove such a slot free. */
import { addMilliseconds, millisecondsBetween } from '@baobabdeck/types';
import type { HostUsage } from '../event.js';
import type { State } from '../state.js';
import type { PendingReport, PoolDispatch } from './dispatch-state.js';
import { settleByUsage, USAGE_MARGIN_MILLISECONDS } from './grants.js';

/** Time after which a report that could not be judged gives way to the next. */
const REPORT_PATIENCE_MILLISECONDS = 5_000;

function keepReport(dispatch: PoolDispatch, hostId: string, report: PendingReport): PoolDispatch {
  if (dispatch.unsettledCount === 0 || dispatch.pendingReports.has(hostId)) return dispatch;
  return { ...dispatch, pendingReports: dispatch.pendingReports.set(hostId, report) };
}

/** Keeps what the platform reported until it can be judged. */
export function keepReports(state: State, asOf: Date, usage: readonly HostUsage[]): State {
  return usage.reduce((current: State, { hostId, runningRequests }) => {
    const pool = current.fold.fleet.hosts.get(hostId)?.pool;
    const dispatch = pool === undefined ? undefined : current.dispatch.get(pool);
    if (pool === undefined || dispatch === undefined) return current;
    const kept = keepReport(dispatch, hostId, { asOf, running: runningRequests, receivedAt: state.now });
    return kept === dispatch ? current : { ...current, dispatch: current.dispatch.set(pool, kept) };
  }, state);
}

/** Whether a gateway was at work after the report: what had ended before it has been released by now. */
function hasSpokenSince(state: State, holder: string, receivedAt: Date): boolean {
  if (holder === state.identity.processId) return true;
  const answeredSince = state.membership.peers.get(holder)?.answeredSince ?? null;
  return answeredSince !== null && answeredSince > receivedAt;
}

function isJudgeable(state: State, dispatch: PoolDispatch, hostId: string, report: PendingReport): boolean {
  return dispatch.grants.every(
    (grant) =>
      grant.hostId !== hostId ||
      grant.unsettledSince !== null ||
      addMilliseconds(grant.grantedAt, USAGE_MARGIN_MILLISECONDS) >= report.asOf ||
      hasSpokenSince(state, grant.holder, report.receivedAt),
  );
}

/** The view after every report that can be judged now. */
export function judgeReports(state: State, dispatch: PoolDispatch): PoolDispatch {
  return dispatch.pendingReports.reduce((view, report, hostId) => {
    if (isJudgeable(state, view, hostId, report)) {
      const settled = settleByUsage(view, hostId, report.running, report.asOf);
      return { ...settled, pendingReports: settled.pendingReports.remove(hostId) };
    }
    const stale = millisecondsBetween(report.receivedAt, state.now) > REPORT_PATIENCE_MILLISECONDS;
    return stale ? { ...view, pendingReports: view.pendingReports.remove(hostId) } : view;
  }, dispatch);
}
