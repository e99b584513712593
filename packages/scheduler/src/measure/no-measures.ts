/** Measures that are discarded, for tests and for simulations in virtual time. */
import type { ProcessMeasures } from '@baobabdeck/observability';

const noop = (): void => undefined;

/** Discards every measurement. */
export const NO_MEASURES: ProcessMeasures = {
  ownerEvent: noop,
  timerLate: noop,
  waitingTasks: noop,
  storeCall: noop,
  workerCall: noop,
  relayedOrders: noop,
  busyMilliseconds: () => 0,
};
