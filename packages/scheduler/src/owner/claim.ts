/**
 * Claims a service. It has two logs: fronts append to its inbox, its owner alone to its journal. From the claim on the
 * store refuses what earlier owners append to the journal.
 */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { KeyedRecord, LogPlace, Store, StoredKeyedRecord } from '../ports/index.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** Name under which owners append; their epochs keep them apart. */
export const OWNER_PRODUCER = 'owner';

const RETRY_DELAY_MILLISECONDS = 50;

/** Shortest time between two lines on a claim that does not come on. */
const DELAY_LOG_INTERVAL_MILLISECONDS = 1_000;

/** What a claim needs. */
export interface ClaimParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** Where fronts append, and claims stand. */
  readonly inbox: LogPlace;
  /** Where the owner appends. */
  readonly journal: LogPlace;
  readonly claimRecord: KeyedRecord;
  /** Whether the service is still wanted; a claim is given up otherwise. */
  readonly shouldContinue: () => boolean;
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

type ReportDelay = (step: string, outcome: { readonly kind: string }) => void;

/** A claim with its log. */
interface ClaimContext extends ClaimParts {
  /** An attempt has failed. */
  readonly reportDelay: ReportDelay;
}

function createDelayReporter({ clock, writeEvent, logFields }: ClaimParts): ReportDelay {
  const beganAt = clock.steadyNow();
  let reportedAt = -Infinity;
  let attempts = 0;
  return (step, outcome) => {
    const now = clock.steadyNow();
    attempts += 1;
    if (now - reportedAt < DELAY_LOG_INTERVAL_MILLISECONDS) return;
    reportedAt = now;
    const milliseconds = Math.round(now - beganAt);
    writeEvent('claimDelayed', { ...logFields, step, outcome, attempts, milliseconds });
  };
}

async function retry<T>(parts: ClaimParts, attempt: () => Promise<T | null>): Promise<T | null> {
  while (parts.shouldContinue()) {
    const result = await attempt();
    if (result !== null) return result;
    await parts.clock.sleep(RETRY_DELAY_MILLISECONDS);
  }
  return null;
}

/** The offset of a claim's record; a later one of the same claimant counts instead. */
async function appendClaim({ store, inbox, claimRecord, reportDelay }: ClaimContext): Promise<number | null> {
  const outcome = await store.append({
    place: inbox,
    records: [claimRecord],
    producer: null,
    expectedEnd: null,
  });
  if (outcome.kind === 'stored') return outcome.firstOffset;
  reportDelay('claim', outcome);
  return null;
}

type FencingOutcome =
  { readonly kind: 'fencing'; readonly nextOffset: number } | { readonly kind: 'superseded' };

async function fenceEarlierOwners(
  { store, journal, reportDelay }: ClaimContext,
  epoch: number,
): Promise<FencingOutcome | null> {
  const producer = { name: OWNER_PRODUCER, epoch, sequence: 0 };
  const outcome = await store.append({ place: journal, records: [], producer, expectedEnd: null });
  if (outcome.kind === 'fenced') return { kind: 'superseded' };
  if (outcome.kind === 'stored') return { kind: 'fencing', nextOffset: outcome.nextOffset };
  reportDelay('fence', outcome);
  return null;
}

/** The newest record of each key up to an offset. */
interface CompactedLog {
  readonly newestByKey: ReadonlyMap<string, StoredKeyedRecord>;
  readonly nextOffset: number;
}

async function readNewest(
  { store, reportDelay }: ClaimContext,
  partition: LogPlace,
): Promise<CompactedLog | null> {
  const page = await store.readNewest(partition);
  if (page.kind === 'read') {
    const newestByKey = new Map(page.records.map((record) => [record.key, record]));
    return { newestByKey, nextOffset: page.nextOffset };
  }
  reportDelay(`newest records of ${partition.topic}`, page);
  return null;
}

/** The log up to an offset at least; what was known of it is read anew where it is too old to read on from. */
async function readThrough(
  context: ClaimContext,
  partition: LogPlace,
  known: CompactedLog,
  endOffset: number,
): Promise<CompactedLog | null> {
  const newestByKey = new Map(known.newestByKey);
  let { nextOffset } = known;
  while (nextOffset < endOffset) {
    const tail = await context.store.read(partition, nextOffset, 0);
    if (tail.kind === 'expired') {
      const reread = await readNewest(context, partition);
      return reread === null ? null : readThrough(context, partition, reread, endOffset);
    }
    if (tail.kind !== 'read') {
      context.reportDelay(`tail of ${partition.topic}`, tail);
      return null;
    }
    tail.records.forEach((record) => newestByKey.set(record.key, record));
    nextOffset = tail.nextOffset;
  }
  return { newestByKey, nextOffset };
}

function recordsByOffset({ newestByKey }: CompactedLog): readonly StoredKeyedRecord[] {
  return [...newestByKey.values()].sort((left, right) => left.offset - right.offset);
}

/**
 * Claims a service and reads what is recorded of it; null when it is not wanted any more or a newer claim stands. Nearly
 * all is read before the claim: an owner so far that has not heard that its place is dealt elsewhere goes on meanwhile.
 */
export async function claimService(claim: ClaimParts): Promise<ClaimedService | null> {
  const { inbox, journal, clock } = claim;
  const context: ClaimContext = { ...claim, reportDelay: createDelayReporter(claim) };
  const beganAt = clock.steadyNow();
  const journalBeforeClaim = await retry(context, () => readNewest(context, journal));
  if (journalBeforeClaim === null) return null;
  const inboxBeforeClaim = await retry(context, () => readNewest(context, inbox));
  if (inboxBeforeClaim === null) return null;
  const offset = await retry(context, () => appendClaim(context));
  if (offset === null) return null;
  // Epoch 0 is that of orders without a token.
  const epoch = offset + 1;
  const provenAt = clock.steadyNow();
  const fencing = await retry(context, () => fenceEarlierOwners(context, epoch));
  if (fencing === null || fencing.kind === 'superseded') return null;
  const claimedAt = clock.steadyNow();
  const journalAfterClaim = await retry(context, () =>
    readThrough(context, journal, journalBeforeClaim, fencing.nextOffset),
  );
  if (journalAfterClaim === null) return null;
  const inboxAfterClaim = await retry(context, () => readThrough(context, inbox, inboxBeforeClaim, epoch));
  if (inboxAfterClaim === null) return null;
  const records = [...recordsByOffset(inboxAfterClaim), ...recordsByOffset(journalAfterClaim)];
  const milliseconds = clock.steadyNow() - beganAt;
  const bytes = bytesOf(records);
  return { epoch, claimedAt, provenAt, records, nextOffset: inboxAfterClaim.nextOffset, milliseconds, bytes };
}
