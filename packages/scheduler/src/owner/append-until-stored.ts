/** Repeats an append to an inbox until it is stored. A repeat does no harm: owners ignore a record that they know. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { AppendOutcome } from '../ports/index.js';

const RETRY_DELAY_MILLISECONDS = 100;

/** Dependencies of a repeated append. */
export interface RepeatedAppendParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  /** Returns false once the ownership has ended. */
  readonly isOpen: () => boolean;
  /** The service whose inbox the records are for, for the log. */
  readonly service: string;
  /** Appends once; null while the inbox is not known. */
  readonly appendOnce: () => Promise<AppendOutcome | null>;
}

/** Returns true once the records are stored, and false if the ownership ends first. */
export async function appendUntilStored({
  clock,
  writeEvent,
  isOpen,
  service,
  appendOnce,
}: RepeatedAppendParts): Promise<boolean> {
  while (isOpen()) {
    const outcome = await appendOnce();
    if (outcome?.kind === 'stored') return true;
    writeEvent('appendFailed', { service, outcome: outcome ?? 'no inbox' });
    await clock.sleep(RETRY_DELAY_MILLISECONDS);
  }
  return false;
}
