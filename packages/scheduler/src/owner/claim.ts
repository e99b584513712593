/**
 * Claims a service. It has two logs: fronts append to its inbox, its owner alone to its journal. From the claim on the
 * store refuses what earlier owners append to the journal.
 */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { KeyedRecord, LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** Name under which owners append; their epochs keep them apart. */
export const OWNER_PRODUCER = 'owner';

const RETRY_PAUSE_MILLISECONDS = 50;

/** Shortest time between two lines on a claim that does not come on. */
const DELAY_LINE_MILLISECONDS = 1_000;

/** What a claim needs. */
export interface ClaimParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** Where fronts append, and claims stand. */
  readonly inbox: LogPartition;
  /** Where the owner appends. */
  readonly journal: LogPartition;
  readonly claimRecord: KeyedRecord;
  /** Whether the service is still wanted; a claim is given up otherwise. */
  readonly isWanted: () => boolean;
  readonly writeEvent: WriteEvent;
  /** Names the owner in the log. */
  readonly logFields: LogFields;
}

/** A claimed service. */
export interface ClaimedService {
  /** Rises with each claim of a service; serves as epoch and as fencing token. */
  readonly epoch: number;
  readonly claimedAt: number;
  readonly provenAt: number;
  /** The newest record of each key of both logs, in the order of their offsets; the inbox comes first. */
  readonly records: readonly StoredKeyedRecord[];
  /** Where to read the inbox on. */
  readonly nextOffset: number;
  /** Time that the claim took, and what was read for it. */
  readonly milliseconds: number;
  readonly bytes: number;
}

type TellDelay = (step: string, outcome: { readonly kind: string }) => void;

/** A claim with its log. */
interface Claiming extends ClaimParts {
  /** An attempt has failed. */
  readonly tellDelay: TellDelay;
}

function createDelayLog({ clock, writeEvent, logFields }: ClaimParts): TellDelay {
  const beganAt = clock.steadyNow();
  let toldAt = -Infinity;
  let attempts = 0;
  return (step, outcome) => {
    const now = clock.steadyNow();
    attempts += 1;
    if (now - toldAt < DELAY_LINE_MILLISECONDS) return;
    toldAt = now;
    const milliseconds = Math.round(now - beganAt);
    writeEvent('claimDelayed', { ...logFields, step, outcome, attempts, milliseconds });
  };
}

async function retry<T>(parts: ClaimParts, attempt: () => Promise<T | null>): Promise<T | null> {
  while (parts.isWanted()) {
    const result = await attempt();
    if (result !== null) return result;
    await parts.clock.sleep(RETRY_PAUSE_MILLISECONDS);
  }
  return null;
}

/** The offset of a claim's record; a later one of the same claimant counts instead. */
async function appendClaim({ store, inbox, claimRecord, tellDelay }: Claiming): Promise<number | null> {
  const outcome = await store.append({
    partition: inbox,
    records: [claimRecord],
    producer: null,
    expectedEnd: null,
  });
  if (outcome.kind === 'stored') return outcome.firstOffset;
  tellDelay('claim', outcome);
  return null;
}

type Fencing = { readonly kind: 'fencing'; readonly nextOffset: number } | { readonly kind: 'superseded' };

async function fenceOff({ store, journal, tellDelay }: Claiming, epoch: number): Promise<Fencing | null> {
  const producer = { name: OWNER_PRODUCER, epoch, sequence: 0 };
  const outcome = await store.append({ partition: journal, records: [], producer, expectedEnd: null });
  if (outcome.kind === 'fenced') return { kind: 'superseded' };
  if (outcome.kind === 'stored') return { kind: 'fencing', nextOffset: outcome.nextOffset };
  tellDelay('fence', outcome);
  return null;
}

/** The newest record of each key up to an offset. */
interface Log {
  readonly newest: ReadonlyMap<string, StoredKeyedRecord>;
  readonly nextOffset: number;
}

async function readNewest({ store, tellDelay }: Claiming, place: LogPartition): Promise<Log | null> {
  const page = await store.readNewest(place);
  if (page.kind === 'read') {
    const newest = new Map(page.records.map((record) => [record.key, record]));
    return { newest, nextOffset: page.nextOffset };
  }
  tellDelay(`newest records of ${place.topic}`, page);
  return null;
}

/** The log up to an offset at least; what was known of it is read anew where it is too old to read on from. */
async function readOn(parts: Claiming, place: LogPartition, known: Log, until: number): Promise<Log | null> {
  const newest = new Map(known.newest);
  let { nextOffset } = known;
  while (nextOffset < until) {
    const tail = await parts.store.read(place, nextOffset, 0);
    if (tail.kind === 'expired') {
      const again = await readNewest(parts, place);
      return again === null ? null : readOn(parts, place, again, until);
    }
    if (tail.kind !== 'read') {
      parts.tellDelay(`tail of ${place.topic}`, tail);
      return null;
    }
    tail.records.forEach((record) => newest.set(record.key, record));
    nextOffset = tail.nextOffset;
  }
  return { newest, nextOffset };
}

function recordsOf({ newest }: Log): readonly StoredKeyedRecord[] {
  return [...newest.values()].sort((left, right) => left.offset - right.offset);
}

/**
 * Claims a service and reads what is recorded of it; null when it is not wanted any more or a newer claim stands. Nearly
 * all is read before the claim: an owner so far that has not heard that its place is dealt elsewhere goes on meanwhile.
 */
export async function claimService(claim: ClaimParts): Promise<ClaimedService | null> {
  const { inbox, journal, clock } = claim;
  const parts: Claiming = { ...claim, tellDelay: createDelayLog(claim) };
  const beganAt = clock.steadyNow();
  const journalBefore = await retry(parts, () => readNewest(parts, journal));
  if (journalBefore === null) return null;
  const inboxBefore = await retry(parts, () => readNewest(parts, inbox));
  if (inboxBefore === null) return null;
  const offset = await retry(parts, () => appendClaim(parts));
  if (offset === null) return null;
  // Epoch 0 is that of orders without a token.
  const epoch = offset + 1;
  const provenAt = clock.steadyNow();
  const fencing = await retry(parts, () => fenceOff(parts, epoch));
  if (fencing === null || fencing.kind === 'superseded') return null;
  const claimedAt = clock.steadyNow();
  const ownLog = await retry(parts, () => readOn(parts, journal, journalBefore, fencing.nextOffset));
  if (ownLog === null) return null;
  const inboxLog = await retry(parts, () => readOn(parts, inbox, inboxBefore, epoch));
  if (inboxLog === null) return null;
  const records = [...recordsOf(inboxLog), ...recordsOf(ownLog)];
  const milliseconds = clock.steadyNow() - beganAt;
  const bytes = bytesOf(records);
  return { epoch, claimedAt, provenAt, records, nextOffset: inboxLog.nextOffset, milliseconds, bytes };
}
