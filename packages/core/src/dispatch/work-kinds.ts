/** Keeps run statistics by work kind: whether it runs long, and on which hosts it fails. */
import type { WorkClass } from '@baobabdeck/types';
import { PersistentSet } from '../persistent.js';
import type { PoolDispatch, WorkKindStatistics } from './dispatch-state.js';

/** Minimum weight of the newest run in the moving share of long runs; the first runs have more weight. */
const MINIMUM_RUN_WEIGHT = 0.02;

/** Minimum share of long runs for a work kind to be classified as long. */
const LONG_KIND_SHARE = 0.2;

/** Minimum share of long runs for a caller's hint `long` to be accepted. */
const LONG_HINT_MINIMUM_SHARE = 0.02;

/**
 * Runs needed before a work kind can be classified as short. The first runs to end are the shortest, so one
 * run proves little.
 */
const MINIMUM_RUNS_TO_CLASSIFY = 5;

/** Maximum number of work kinds per pool. Kinds derive from request paths, so callers could create any number. */
const MAXIMUM_KINDS = 1_000;

/** Classifies a request before it runs, from the statistics of its work kind and the caller's hint. */
export function classify(dispatch: PoolDispatch, workKind: string, hint: 'short' | 'long' | null): WorkClass {
  const statistics = dispatch.workKinds.get(workKind);
  const longShare = statistics?.longRunShare ?? null;
  if (longShare !== null && longShare >= LONG_KIND_SHARE) return 'long';
  if (longShare === null || statistics === undefined || statistics.runs < MINIMUM_RUNS_TO_CLASSIFY) {
    return hint === 'long' ? 'long' : 'unproven';
  }
  return hint === 'long' && longShare >= LONG_HINT_MINIMUM_SHARE ? 'long' : 'short';
}

function setStatistics(
  dispatch: PoolDispatch,
  workKind: string,
  statistics: WorkKindStatistics,
): PoolDispatch {
  const kinds = dispatch.workKinds;
  const oldest = kinds.size >= MAXIMUM_KINDS && !kinds.has(workKind) ? kinds.keySeq().first() : undefined;
  const trimmed = oldest === undefined ? kinds : kinds.remove(oldest);
  return { ...dispatch, workKinds: trimmed.set(workKind, statistics) };
}

/** Records whether a run was long; called when a run ends, or earlier, as soon as it exceeds its threshold. */
export function recordRunClass(dispatch: PoolDispatch, workKind: string, wasLong: boolean): PoolDispatch {
  const statistics = dispatch.workKinds.get(workKind);
  const sample = wasLong ? 1 : 0;
  const runs = (statistics?.runs ?? 0) + 1;
  const before = statistics?.longRunShare ?? sample;
  const longRunShare = before + Math.max(MINIMUM_RUN_WEIGHT, 1 / runs) * (sample - before);
  return setStatistics(dispatch, workKind, {
    longRunShare,
    runs,
    failingHostIds: statistics?.failingHostIds ?? PersistentSet(),
  });
}

/** Records whether the latest attempt of a work kind on a host failed. */
export function recordKindOutcome(
  dispatch: PoolDispatch,
  workKind: string,
  hostId: string,
  failed: boolean,
): PoolDispatch {
  const statistics = dispatch.workKinds.get(workKind) ?? {
    longRunShare: null,
    runs: 0,
    failingHostIds: PersistentSet<string>(),
  };
  const failingHostIds = failed
    ? statistics.failingHostIds.add(hostId)
    : statistics.failingHostIds.remove(hostId);
  return setStatistics(dispatch, workKind, { ...statistics, failingHostIds });
}
