/** Reads the operator's entries so that neither a lost answer nor a silent connection delays a new version for long. */
import type { OperatorFeed, OperatorReadOutcome } from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Longest wait of a read for new entries. */
const READ_WAIT_MILLISECONDS = 900;

/**
 * Time after the wait of a read after which another read is sent beside it. Two reads without an answer thus delay a new
 * version by less than the 3 s within which it must be in force.
 */
const OVERDUE_MILLISECONDS = 300;

/** Reads under way at once; each takes a connection of the store's client. */
const MOST_READS_UNDER_WAY = 3;

const FAILURE_PAUSE_MILLISECONDS = 150;

/**
 * Age of the newest settled read above which a decision must read again. It stays below the 3 s within which a version
 * must be in force. While the process runs without a pause, some read is younger, also if the store does not answer.
 */
const STALE_MILLISECONDS = 2_800;

/** Reads of the operator's entries. */
export interface ConfigurationReads {
  /** When the newest read that was answered was sent; -Infinity before the first. */
  readonly answeredSince: () => number;
  /**
   * Reads once if no read that was sent within the last 2.8 s has been settled, as after a pause of the process. Resolves
   * at once otherwise, also while the store cannot be read.
   */
  readonly refreshIfStale: () => Promise<void>;
  readonly close: () => void;
}

/** Dependencies of the reads. */
export interface ConfigurationReadsParts {
  readonly feed: OperatorFeed;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  /** Called for each settled read, except failures of reads older than an answered one. Entries may be handed over more than once and not in their order. */
  readonly onOutcome: (outcome: OperatorReadOutcome) => void;
}

/** Starts to read. */
export function readConfiguration({
  feed,
  clock,
  background,
  onOutcome,
}: ConfigurationReadsParts): ConfigurationReads {
  let nextOffset: number | null = null;
  let closed = false;
  let underWay = 0;
  let isAnswering = true;
  let answeredSince = -Infinity;
  let settledSince = -Infinity;
  let refresh: Promise<void> | null = null;

  const settle = (outcome: OperatorReadOutcome, from: number | null, sentAt: number): void => {
    settledSince = Math.max(settledSince, sentAt);
    // A read on a silent connection fails after later ones were answered.
    if (outcome.kind === 'failed' && sentAt < answeredSince) return;
    isAnswering = outcome.kind !== 'failed';
    if (outcome.kind === 'read') {
      answeredSince = Math.max(answeredSince, sentAt);
      // A read that was sent earlier may be answered later.
      nextOffset = nextOffset === from ? outcome.nextOffset : Math.max(nextOffset ?? 0, outcome.nextOffset);
    } else if (outcome.kind === 'expired' && nextOffset === from) {
      nextOffset = null;
    }
    onOutcome(outcome);
  };

  const readOnce = async (waitMilliseconds: number): Promise<OperatorReadOutcome['kind']> => {
    const from = nextOffset;
    const sentAt = clock.steadyNow();
    underWay += 1;
    let outcome: OperatorReadOutcome;
    try {
      outcome = from === null ? await feed.readNewest() : await feed.read(from, waitMilliseconds);
    } finally {
      underWay -= 1;
    }
    settle(outcome, from, sentAt);
    return outcome.kind;
  };

  const readInTime = async (): Promise<void> => {
    const wait = isAnswering ? READ_WAIT_MILLISECONDS : 0;
    const overdue = clock.sleep(wait + OVERDUE_MILLISECONDS).then(() => 'overdue' as const);
    if (underWay >= MOST_READS_UNDER_WAY) {
      await overdue;
      return;
    }
    const result = await Promise.race([readOnce(wait), overdue]);
    if (result === 'overdue') isAnswering = false;
    if (result === 'failed') await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
  };

  const refreshOnce = async (): Promise<void> => {
    await readOnce(0);
  };

  background.repeat('read-configuration', () => !closed, readInTime);

  return {
    answeredSince: () => answeredSince,
    refreshIfStale: async () => {
      if (clock.steadyNow() - settledSince <= STALE_MILLISECONDS) return;
      refresh ??= refreshOnce().finally(() => {
        refresh = null;
      });
      await refresh;
    },
    close: () => {
      closed = true;
    },
  };
}
