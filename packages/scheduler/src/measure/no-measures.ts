/** Measures that nobody takes down: for tests and for plays in virtual time. */
import type { ProcessMeasures } from '@baobabdeck/observability';

const ignore = (): void => undefined;

/** Takes nothing down. */
export const NO_MEASURES: ProcessMeasures = {
  ownerEvent: ignore,
  timerLate: ignore,
  waitingTasks: ignore,
  storeCall: ignore,
  workerCall: ignore,
  busyMilliseconds: () => 0,
};
