/** Orders to workers, each of which is measured. */
import type { ProcessMeasures } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { WorkerOrders } from '../ports/index.js';

/** Measures orders to workers. The time of a renewal holds the time for which the worker waits for something to tell. */
export function measureWorkers(
  workers: WorkerOrders,
  clock: SteadyClock,
  measures: ProcessMeasures,
): WorkerOrders {
  const measure = async <T>(
    call: string,
    run: () => Promise<T>,
    outcomeOf: (answer: T) => string,
  ): Promise<T> => {
    const askedAt = clock.steadyNow();
    const answer = await run();
    measures.workerCall(call, outcomeOf(answer), clock.steadyNow() - askedAt);
    return answer;
  };
  return {
    ...workers,
    renewLease: (order) =>
      measure(
        'renew-lease',
        () => workers.renewLease(order),
        ({ kind }) => kind,
      ),
    startRun: (order) =>
      measure(
        'start-run',
        () => workers.startRun(order),
        ({ outcome }) => outcome,
      ),
    stopRun: (order) =>
      measure(
        'stop-run',
        () => workers.stopRun(order),
        (outcome) => outcome,
      ),
  };
}
