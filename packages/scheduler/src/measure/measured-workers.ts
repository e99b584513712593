/** Wraps the orders to workers to measure them. */
import type { ProcessMeasures } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { WorkerOrders } from '../ports/index.js';

/** Measures orders to workers. The duration of a lease renewal includes the worker's wait for something to report. */
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
    const startedAt = clock.steadyNow();
    const answer = await run();
    measures.workerCall(call, outcomeOf(answer), clock.steadyNow() - startedAt);
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
    paceRun: (order) =>
      measure(
        'pace-run',
        () => workers.paceRun(order),
        (outcome) => outcome,
      ),
  };
}
