/** Logs calls that were refused for their key, by queue and cause: the first at once, further ones once a second. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Time for which calls of one queue and cause are counted before the next log line. */
const SUMMARY_MILLISECONDS = 1_000;

/** Records one refused call. */
export type RecordUnauthenticatedCall = (queue: string, reason: string) => void;

/** Creates the recorder. A flood of such calls causes one log line a second for each queue and cause. */
export function recordUnauthenticatedCalls(
  clock: SteadyClock,
  writeEvent: WriteEvent,
  background: BackgroundWork,
): RecordUnauthenticatedCall {
  /** Calls since the last line, by queue and cause; an entry exists while a summary is due. */
  const unreported = new Map<string, number>();

  const summarize = async (id: string, queue: string, reason: string): Promise<void> => {
    for (;;) {
      await clock.sleep(SUMMARY_MILLISECONDS);
      const calls = unreported.get(id) ?? 0;
      if (calls === 0) break;
      unreported.set(id, 0);
      writeEvent('callsUnauthenticated', { queue, reason, calls });
    }
    unreported.delete(id);
  };

  return (queue, reason) => {
    const id = JSON.stringify([queue, reason]);
    const calls = unreported.get(id);
    if (calls !== undefined) {
      unreported.set(id, calls + 1);
      return;
    }
    unreported.set(id, 0);
    writeEvent('callsUnauthenticated', { queue, reason, calls: 1 });
    background.start('summarize-unauthenticated-calls', () => summarize(id, queue, reason));
  };
}
