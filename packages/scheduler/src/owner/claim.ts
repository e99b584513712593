/** Claims a service's log: from then on the store refuses what earlier owners append. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { KeyedRecord, LogPlace, Store, StoredKeyedRecord } from '../ports/index.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** Name under which owners append; their epochs keep them apart. */
export const OWNER_PRODUCER = 'owner';

const RETRY_PAUSE_MILLISECONDS = 50;

/** What a claim needs. */
export interface ClaimParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  readonly place: LogPlace;
  readonly claimRecord: KeyedRecord;
  /** Whether the log is still wanted; a claim is given up otherwise. */
  readonly isWanted: () => boolean;
}

/** A claimed log. */
export interface ClaimedLog {
  /** Rises with each claim of a log; serves as epoch and as fencing token. */
  readonly epoch: number;
  readonly claimedAt: number;
  readonly provenAt: number;
  /** The newest record of each key, in the order of their offsets. */
  readonly records: readonly StoredKeyedRecord[];
  readonly nextOffset: number;
}

async function retry<T>(parts: ClaimParts, attempt: () => Promise<T | null>): Promise<T | null> {
  while (parts.isWanted()) {
    const result = await attempt();
    if (result !== null) return result;
    await sleep(RETRY_PAUSE_MILLISECONDS);
  }
  return null;
}

/** The offset of a claim's record; a later one of the same claimant counts instead. */
async function appendClaim({ store, place, claimRecord }: ClaimParts): Promise<number | null> {
  const outcome = await store.append({ place, records: [claimRecord], producer: null, expectedEnd: null });
  return outcome.kind === 'stored' ? outcome.firstOffset : null;
}

type Fencing = { readonly kind: 'fencing'; readonly nextOffset: number } | { readonly kind: 'superseded' };

async function fenceOff({ store, place }: ClaimParts, epoch: number): Promise<Fencing | null> {
  const producer = { name: OWNER_PRODUCER, epoch, sequence: 0 };
  const outcome = await store.append({ place, records: [], producer, expectedEnd: null });
  if (outcome.kind === 'fenced') return { kind: 'superseded' };
  return outcome.kind === 'stored' ? { kind: 'fencing', nextOffset: outcome.nextOffset } : null;
}

async function readTail(
  parts: ClaimParts,
  newest: Map<string, StoredKeyedRecord>,
  from: number,
  until: number,
): Promise<number | null> {
  let nextOffset = from;
  while (nextOffset < until) {
    const page = await parts.store.read(parts.place, nextOffset, 0);
    if (page.kind !== 'read') return null;
    page.records.forEach((record) => newest.set(record.key, record));
    nextOffset = page.nextOffset;
  }
  return nextOffset;
}

/** Claims a log and reads what it holds; null when it is not wanted any more or a newer claim stands. */
export async function claimLog(parts: ClaimParts): Promise<ClaimedLog | null> {
  const { store, place, clock } = parts;
  const offset = await retry(parts, () => appendClaim(parts));
  if (offset === null) return null;
  // Epoch 0 is that of orders without a token.
  const epoch = offset + 1;
  const fenceAskedAt = clock.steadyNow();
  const fencing = await retry(parts, () => fenceOff(parts, epoch));
  if (fencing === null || fencing.kind === 'superseded') return null;
  const claimedAt = clock.steadyNow();
  return retry(parts, async () => {
    const page = await store.readNewest(place);
    if (page.kind !== 'read') return null;
    const newest = new Map(page.records.map((record) => [record.key, record]));
    const nextOffset = await readTail(parts, newest, page.nextOffset, fencing.nextOffset);
    if (nextOffset === null) return null;
    const records = [...newest.values()].sort((left, right) => left.offset - right.offset);
    return { epoch, claimedAt, provenAt: fenceAskedAt, records, nextOffset };
  });
}
