/**
 * Work that nobody awaits. An unexpected error in it is reported and ends neither the process nor, in repeated work, the
 * repetition.
 */
import type { SteadyClock } from '../node/steady-clock.js';
import type { ReportUnexpectedError } from './report-unexpected-error.js';

/** Pause after a failed step, so that a permanent fault does not occupy the processor. */
const FAILED_STEP_PAUSE_MILLISECONDS = 100;

/** Starts work in the background. */
export interface BackgroundWork {
  /** Starts work at once. If it throws or rejects, the error is reported and then `onFailed` is called. */
  readonly start: (activity: string, work: () => Promise<void>, onFailed?: () => void) => void;
  /** Repeats a step while `isActive` returns true; a step that fails is reported and followed by a pause. */
  readonly repeat: (activity: string, isActive: () => boolean, step: () => Promise<void>) => void;
}

/** Creates background work that reports its errors. */
export function createBackgroundWork(clock: SteadyClock, report: ReportUnexpectedError): BackgroundWork {
  const run = async (activity: string, work: () => Promise<void>, onFailed: () => void): Promise<void> => {
    try {
      await work();
    } catch (error) {
      report(activity, error);
      onFailed();
    }
  };

  const runRepeatedly = async (
    activity: string,
    isActive: () => boolean,
    step: () => Promise<void>,
  ): Promise<void> => {
    while (isActive()) {
      try {
        await step();
      } catch (error) {
        report(activity, error);
        await clock.sleep(FAILED_STEP_PAUSE_MILLISECONDS);
      }
    }
  };

  return {
    start: (activity, work, onFailed = () => undefined) => {
      void run(activity, work, onFailed);
    },
    repeat: (activity, isActive, step) => {
      void runRepeatedly(activity, isActive, step);
    },
  };
}
