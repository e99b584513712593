/** Folds idempotency keys: the first claim at the lowest offset wins, for good. */
import {
  addMilliseconds,
  type KeyClaim,
  type KeyOutcome,
  type RecordBody,
  type StoredRecord,
} from '@baobabdeck/types';
import type { KeysState, KeyState } from './fold-state.js';

/** What became of one claim. */
export type ClaimVerdict = { readonly requestId: string; readonly keyHash: string } & (
  | { readonly kind: 'won' }
  | { readonly kind: 'held'; readonly holder: KeyState }
  | { readonly kind: 'too-old' }
  | { readonly kind: 'exhausted' }
);

/** A claimed piece of work that ended. */
export interface EndedKey {
  readonly keyHash: string;
  readonly outcome: KeyOutcome;
}

/** The keys after a record, and what the record decided. */
export interface KeysStep {
  readonly keys: KeysState;
  readonly verdicts: readonly ClaimVerdict[];
  readonly ended: readonly EndedKey[];
}

type ClaimsBody = Extract<RecordBody, { readonly kind: 'keys-claimed' }>;
type EndsBody = Extract<RecordBody, { readonly kind: 'keys-ended' }>;

/** A claimed key, or undefined for one that is not remembered. */
export function selectKey(keys: KeysState, keyHash: string): KeyState | undefined {
  return keys.timedKeys.get(keyHash) ?? keys.untimedKeys.get(keyHash);
}

function setKey(keys: KeysState, keyHash: string, key: KeyState): KeysState {
  return key.madeAt === null
    ? { ...keys, untimedKeys: keys.untimedKeys.set(keyHash, key) }
    : { ...keys, timedKeys: keys.timedKeys.set(keyHash, key) };
}

function judge(keys: KeysState, claim: KeyClaim, untimedLimit: number): ClaimVerdict {
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

/** Forgets keys whose own time lies before the cutoff; a claim of such a key is rejected from here on. */
function forget(keys: KeysState, cutoff: Date): KeysState {
  if (cutoff <= keys.forgottenThrough) return keys;
  const timedKeys = keys.timedKeys.skipWhile((key) => key.madeAt !== null && key.madeAt <= cutoff);
  const dropped = timedKeys.size < keys.timedKeys.size;
  return { ...keys, timedKeys: dropped ? timedKeys : keys.timedKeys, forgottenThrough: cutoff };
}

function foldClaims(before: KeysState, body: ClaimsBody, issuedAt: Date): KeysStep {
  const verdicts: ClaimVerdict[] = [];
  let keys = forget(before, addMilliseconds(issuedAt, -body.memoryMilliseconds));
  for (const claim of body.claims) {
    const verdict = judge(keys, claim, body.untimedLimit);
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

/** Folds one record of the stream `keys`. Its effect depends on no clock but the record's own time. */
export function foldKeysRecord(before: KeysState, { offset, record }: StoredRecord): KeysStep {
  const keys: KeysState = { ...before, nextOffset: offset + 1 };
  if (record?.body.kind === 'keys-claimed') return foldClaims(keys, record.body, record.issuedAt);
  if (record?.body.kind === 'keys-ended') return foldEnds(keys, record.body);
  return { keys, verdicts: [], ended: [] };
}
