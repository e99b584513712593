/** Gives each order to a worker that throws an unexpected error the outcome of a worker that did not answer. */
import type { WorkerOrders } from '../ports/index.js';
import { guardCall } from './guard-call.js';
import type { ReportUnexpectedError } from './report-unexpected-error.js';

/** Wraps orders to workers, so that no method throws or rejects. */
export function guardWorkers(workers: WorkerOrders, report: ReportUnexpectedError): WorkerOrders {
  return {
    renewLease: (order) =>
      guardCall(
        () => workers.renewLease(order),
        (error) => {
          report('renew-lease', error, { workerId: order.workerId, address: order.address });
          return { kind: 'unanswered', detail: 'unexpected error' };
        },
      ),
    startRun: (order) =>
      guardCall(
        () => workers.startRun(order),
        (error) => {
          report('start-run', error, { workerId: order.workerId, address: order.address });
          return { outcome: 'unanswered', clockMilliseconds: null };
        },
      ),
    stopRun: (order) =>
      guardCall(
        () => workers.stopRun(order),
        (error) => {
          report('stop-run', error, { workerId: order.workerId, address: order.address });
          return 'unanswered';
        },
      ),
    paceRun: (order) =>
      guardCall(
        () => workers.paceRun(order),
        (error) => {
          report('pace-run', error, { workerId: order.workerId, address: order.address });
          return 'unanswered';
        },
      ),
    closeConnections: (address) => {
      try {
        workers.closeConnections(address);
      } catch (error) {
        report('close-connections', error, { address });
      }
    },
  };
}
