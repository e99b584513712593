/** Measures that nobody takes down: for tests and for plays in virtual time. */
import type { ProcessMeasures } from '@baobabdeck/observability';

const noop = (): void => undefined;

/** Takes nothing down. */
export const NO_MEASURES: ProcessMeasures = {
  ownerEvent: noop,
  timerLate: noop,
  waitingTasks: noop,
  storeCall: noop,
  workerCall: noop,
  busyMilliseconds: () => 0,
};
