/**
 * Claims the ownership of a service or of the fleet. Each has two logs: front ends and claimants append to the inbox,
 * only the owner appends to the journal. A claim makes the store refuse journal appends by earlier owners.
 */
import type { LogFields, WriteEvent } from '@baobabdeck/observability';
import { bytesOf } from '../measure/measured-store.js';
import type { KeyedRecord, LogPartition, Store, StoredKeyedRecord } from '../ports/index.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** Producer name of all owners; the store tells them apart by epoch. */
export const OWNER_PRODUCER = 'owner';

const RETRY_DELAY_MILLISECONDS = 50;

/** Minimum time between two log lines about one delayed claim. */
const DELAY_LOG_INTERVAL_MILLISECONDS = 1_000;

/** Dependencies and parameters of a claim. */
export interface ClaimParts {
  readonly store: Store;
  readonly clock: SteadyClock;
  /** Log that front ends append requests to; it also holds the claims. */
  readonly inbox: LogPartition;
  /** Log that only the owner appends to. */
  readonly journal: LogPartition;
  readonly claimRecord: KeyedRecord;
  /** Called with the records that are read before the claim, so that costly work on them delays no handover. */
  readonly prepare: (records: readonly StoredKeyedRecord[]) => void;
  /** Returns false once this process no longer needs the ownership; the claim is then abandoned. */
  readonly shouldContinue: () => boolean;
  readonly writeEvent: WriteEvent;
  /** Fields that identify the owner in log lines. */
  readonly logFields: LogFields;
}

/** Result of a successful claim. */
export interface ClaimedService {
  /** Grows with each claim of the same inbox; used as the producer epoch and as the fencing token. */
  readonly epoch: number;
  /** Steady-clock time at which the earlier owners were fenced. */
  readonly claimedAt: number;
  /** Steady-clock time just after the claim was stored; the first proof of the ownership. */
  readonly provenAt: number;
  /** Newest record of each key: those of the inbox, then those of the journal, each in order of offset. */
  readonly records: readonly StoredKeyedRecord[];
  /** Inbox offset from which to continue reading. */
  readonly nextOffset: number;
  /** Duration of the claim. */
  readonly milliseconds: number;
  /** Size of `records`. */
  readonly bytes: number;
}

type ReportDelay = (step: string, outcome: { readonly kind: string }) => void;

/** Claim parameters together with the logging of failed attempts. */
interface ClaimContext extends ClaimParts {
  /** Records a failed attempt; logs at most one line per second. */
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

/**
 * Appends the claim record and returns its offset. If an unanswered append is retried and both are stored, the later
 * record counts.
 */
async function appendClaim({ store, inbox, claimRecord, reportDelay }: ClaimContext): Promise<number | null> {
  const outcome = await store.append({
    partition: inbox,
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
  const outcome = await store.append({ partition: journal, records: [], producer, expectedEnd: null });
  if (outcome.kind === 'fenced') return { kind: 'superseded' };
  if (outcome.kind === 'stored') return { kind: 'fencing', nextOffset: outcome.nextOffset };
  reportDelay('fence', outcome);
  return null;
}

/** The newest record of each key below `nextOffset`. */
interface CompactedLog {
  readonly newestByKey: ReadonlyMap<string, StoredKeyedRecord>;
  readonly nextOffset: number;
}

async function readNewest(
  { store, reportDelay }: ClaimContext,
  partition: LogPartition,
): Promise<CompactedLog | null> {
  const page = await store.readNewest(partition);
  if (page.kind === 'read') {
    const newestByKey = new Map(page.records.map((record) => [record.key, record]));
    return { newestByKey, nextOffset: page.nextOffset };
  }
  reportDelay(`newest records of ${partition.topic}`, page);
  return null;
}

/**
 * Reads on from what is known of a log until at least `endOffset`. Reads the newest records again if those after the
 * known part have expired.
 */
async function readThrough(
  context: ClaimContext,
  partition: LogPartition,
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
 * Claims a service and reads its records. Returns null if the claim is abandoned or superseded by a newer one.
 * Most records are read before the claim is made, so that a previous owner that does not know yet that its partition
 * was reassigned keeps serving meanwhile.
 */
export async function claimService(claim: ClaimParts): Promise<ClaimedService | null> {
  const { inbox, journal, clock } = claim;
  const context: ClaimContext = { ...claim, reportDelay: createDelayReporter(claim) };
  const beganAt = clock.steadyNow();
  const journalBeforeClaim = await retry(context, () => readNewest(context, journal));
  if (journalBeforeClaim === null) return null;
  const inboxBeforeClaim = await retry(context, () => readNewest(context, inbox));
  if (inboxBeforeClaim === null) return null;
  claim.prepare([...inboxBeforeClaim.newestByKey.values(), ...journalBeforeClaim.newestByKey.values()]);
  const offset = await retry(context, () => appendClaim(context));
  if (offset === null) return null;
  // Orders without a fencing token count as epoch 0, so the epochs of claims start at 1.
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
