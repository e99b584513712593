/** Folds idempotency keys: the claim at the lowest offset wins permanently. */
import {
  addMilliseconds,
  type KeyClaim,
  type KeyOutcome,
  type RecordBody,
  type StoredRecord,
} from '@baobabdeck/types';
import type { KeysState, KeyState } from './fold-state.js';

/** Outcome of one claim. */
export type ClaimVerdict = { readonly requestId: string; readonly keyHash: string } & (
  | { readonly kind: 'won' }
  | { readonly kind: 'held'; readonly holder: KeyState }
  | { readonly kind: 'too-old' }
  | { readonly kind: 'exhausted' }
);

/** Outcome of the work under a claimed key. */
export interface EndedKey {
  readonly keyHash: string;
  readonly outcome: KeyOutcome;
}

/** Result of folding one record: the keys after it and the outcomes that it decided. */
export interface KeysStep {
  readonly keys: KeysState;
  readonly verdicts: readonly ClaimVerdict[];
  readonly ended: readonly EndedKey[];
}

type ClaimsBody = Extract<RecordBody, { readonly kind: 'keys-claimed' }>;
type EndsBody = Extract<RecordBody, { readonly kind: 'keys-ended' }>;

/** Returns a claimed key, or undefined if it is unknown or expired. */
export function selectKey(keys: KeysState, keyHash: string): KeyState | undefined {
  return keys.timedKeys.get(keyHash) ?? keys.untimedKeys.get(keyHash);
}

function setKey(keys: KeysState, keyHash: string, key: KeyState): KeysState {
  return key.madeAt === null
    ? { ...keys, untimedKeys: keys.untimedKeys.set(keyHash, key) }
    : { ...keys, timedKeys: keys.timedKeys.set(keyHash, key) };
}

function evaluateClaim(keys: KeysState, claim: KeyClaim, untimedLimit: number): ClaimVerdict {
  const { requestId, keyHash } = claim;
  const known = selectKey(keys, keyHash);
  if (known !== undefined && known.requestId === requestId) return { requestId, keyHash, kind: 'won' };
  if (known !== undefined && known.outcome !== 'not-run') {
    return { requestId, keyHash, kind: 'held', holder: known };
  }
  if (claim.madeAt !== null && claim.madeAt <= keys.forgottenThrough) {
    return { requestId, keyHash, kind: 'too-old' };
  }
  if (claim.madeAt === null && known === undefined && keys.untimedKeys.size >= untimedLimit) {
    return { requestId, keyHash, kind: 'exhausted' };
  }
  return { requestId, keyHash, kind: 'won' };
}

function foldClaim(keys: KeysState, claim: KeyClaim, body: ClaimsBody, claimedAt: Date): KeysState {
  const { fingerprint, requestId, madeAt } = claim;
  const { processId, incarnation } = body;
  return setKey(keys, claim.keyHash, {
    fingerprint,
    requestId,
    processId,
    incarnation,
    claimedAt,
    madeAt,
    outcome: null,
  });
}

/** Removes timed keys made at or before the cutoff; later claims of such keys are rejected. */
function forgetExpiredKeys(keys: KeysState, cutoff: Date): KeysState {
  if (cutoff <= keys.forgottenThrough) return keys;
  const timedKeys = keys.timedKeys.skipWhile((key) => key.madeAt !== null && key.madeAt <= cutoff);
  const dropped = timedKeys.size < keys.timedKeys.size;
  return { ...keys, timedKeys: dropped ? timedKeys : keys.timedKeys, forgottenThrough: cutoff };
}

function foldClaims(before: KeysState, body: ClaimsBody, issuedAt: Date): KeysStep {
  const verdicts: ClaimVerdict[] = [];
  let keys = forgetExpiredKeys(before, addMilliseconds(issuedAt, -body.memoryMilliseconds));
  for (const claim of body.claims) {
    const verdict = evaluateClaim(keys, claim, body.untimedLimit);
    const isRepeat = selectKey(keys, claim.keyHash)?.requestId === claim.requestId;
    if (verdict.kind === 'won' && !isRepeat) keys = foldClaim(keys, claim, body, issuedAt);
    verdicts.push(verdict);
  }
  return { keys, verdicts, ended: [] };
}

function foldEnds(before: KeysState, body: EndsBody): KeysStep {
  const ended: EndedKey[] = [];
  let keys = before;
  for (const end of body.ends) {
    const known = selectKey(keys, end.keyHash);
    if (known === undefined || known.requestId !== end.requestId || known.outcome !== null) continue;
    keys = setKey(keys, end.keyHash, { ...known, outcome: end.outcome });
    ended.push({ keyHash: end.keyHash, outcome: end.outcome });
  }
  return { keys, verdicts: [], ended };
}

/** Folds one record of the stream `keys`. Deterministic: the only time used is that of the record. */
export function foldKeysRecord(before: KeysState, { offset, record }: StoredRecord): KeysStep {
  const keys: KeysState = { ...before, nextOffset: offset + 1 };
  if (record?.body.kind === 'keys-claimed') return foldClaims(keys, record.body, record.issuedAt);
  if (record?.body.kind === 'keys-ended') return foldEnds(keys, record.body);
  return { keys, verdicts: [], ended: [] };
}
