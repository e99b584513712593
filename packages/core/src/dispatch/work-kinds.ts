/** Learns from what was seen how long each kind of work runs and where it fails. */
import type { WorkClass } from '@baobabdeck/types';
import { PersistentSet } from '../persistent.js';
import type { PoolDispatch, WorkKindRecord } from './dispatch-state.js';

/** Least weight of the newest run in the moving share of long runs; the first runs weigh more. */
const NEWEST_WEIGHT = 0.02;

/** Share of long runs from which a kind counts as long. */
const LONG_SHARE = 0.2;

/** Share of long runs from which a caller's hint `long` is believed. */
const HINT_BELIEVED_SHARE = 0.02;

/** Runs after which a kind is known. One run alone may be the shortest of many that still go on. */
const PROVEN_RUNS = 5;

/** Kinds that are remembered for each pool; the paths of callers could name any number. */
const MAXIMUM_KINDS = 1_000;

/** The class of a piece of work before it runs. */
export function classify(dispatch: PoolDispatch, workKind: string, hint: 'short' | 'long' | null): WorkClass {
  const seen = dispatch.workKinds.get(workKind);
  const longShare = seen?.longShare ?? null;
  if (longShare !== null && longShare >= LONG_SHARE) return 'long';
  if (longShare === null || seen === undefined || seen.runs < PROVEN_RUNS) {
    return hint === 'long' ? 'long' : 'unproven';
  }
  return hint === 'long' && longShare >= HINT_BELIEVED_SHARE ? 'long' : 'short';
}

function setKind(dispatch: PoolDispatch, workKind: string, seen: WorkKindRecord): PoolDispatch {
  const kinds = dispatch.workKinds;
  const oldest = kinds.size >= MAXIMUM_KINDS && !kinds.has(workKind) ? kinds.keySeq().first() : undefined;
  const room = oldest === undefined ? kinds : kinds.remove(oldest);
  return { ...dispatch, workKinds: room.set(workKind, seen) };
}

/** The view after a run that ended, or that has gone on for so long that it counts as long. */
export function learnRun(dispatch: PoolDispatch, workKind: string, wasLong: boolean): PoolDispatch {
  const seen = dispatch.workKinds.get(workKind);
  const sample = wasLong ? 1 : 0;
  const runs = (seen?.runs ?? 0) + 1;
  const before = seen?.longShare ?? sample;
  const longShare = before + Math.max(NEWEST_WEIGHT, 1 / runs) * (sample - before);
  return setKind(dispatch, workKind, {
    longShare,
    runs,
    failingHostIds: seen?.failingHostIds ?? PersistentSet(),
  });
}

/** The view after a run of a kind failed or succeeded on a host. */
export function learnOutcome(
  dispatch: PoolDispatch,
  workKind: string,
  hostId: string,
  failed: boolean,
): PoolDispatch {
  const seen = dispatch.workKinds.get(workKind) ?? {
    longShare: null,
    runs: 0,
    failingHostIds: PersistentSet<string>(),
  };
  const failingHostIds = failed ? seen.failingHostIds.add(hostId) : seen.failingHostIds.remove(hostId);
  return setKind(dispatch, workKind, { ...seen, failingHostIds });
}
