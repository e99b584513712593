/** Learns from what was seen how long each kind of work runs and where it fails. */
import type { WorkClass } from '@baobabdeck/types';
import { PersistentSet } from '../persistent.js';
import type { PoolDispatch, WorkKindRecord } from './dispatch-state.js';

/** Weight of the newest run in the moving share of long runs. */
const NEWEST_WEIGHT = 0.2;

/** Share of long runs from which a kind counts as long. */
const LONG_SHARE = 0.5;

/** Share of long runs from which a caller's hint `long` is believed. */
const HINT_BELIEVED_SHARE = 0.05;

/** Kinds that are remembered for each pool; the paths of callers could name any number. */
const MAXIMUM_KINDS = 1_000;

/** The class of a piece of work before it runs. */
export function classify(dispatch: PoolDispatch, workKind: string, hint: 'short' | 'long' | null): WorkClass {
  const longShare = dispatch.workKinds.get(workKind)?.longShare ?? null;
  if (longShare === null) return hint === 'long' ? 'long' : 'unproven';
  if (longShare >= LONG_SHARE) return 'long';
  return hint === 'long' && longShare >= HINT_BELIEVED_SHARE ? 'long' : 'short';
}

function setKind(dispatch: PoolDispatch, workKind: string, seen: WorkKindRecord): PoolDispatch {
  const kinds = dispatch.workKinds;
  const oldest = kinds.size >= MAXIMUM_KINDS && !kinds.has(workKind) ? kinds.keySeq().first() : undefined;
  const room = oldest === undefined ? kinds : kinds.remove(oldest);
  return { ...dispatch, workKinds: room.set(workKind, seen) };
}

/** The view after a run of known length. */
export function learnRun(dispatch: PoolDispatch, workKind: string, wasLong: boolean): PoolDispatch {
  const seen = dispatch.workKinds.get(workKind);
  const sample = wasLong ? 1 : 0;
  const before = seen?.longShare ?? sample;
  const longShare = before + NEWEST_WEIGHT * (sample - before);
  return setKind(dispatch, workKind, { longShare, failingHostIds: seen?.failingHostIds ?? PersistentSet() });
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
    failingHostIds: PersistentSet<string>(),
  };
  const failingHostIds = failed ? seen.failingHostIds.add(hostId) : seen.failingHostIds.remove(hostId);
  return setKind(dispatch, workKind, { ...seen, failingHostIds });
}
