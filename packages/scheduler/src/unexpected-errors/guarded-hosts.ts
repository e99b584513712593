/** Gives each call to the host service that throws an unexpected error the outcome of a service that did not answer. */
import type { HostService } from '../ports/index.js';
import { guardCall } from './guard-call.js';
import type { ReportUnexpectedError } from './report-unexpected-error.js';

/** Wraps a host service, so that no method rejects. */
export function guardHosts(hosts: HostService, report: ReportUnexpectedError): HostService {
  return {
    list: () =>
      guardCall(
        () => hosts.list(),
        (error) => {
          report('list-hosts', error);
          return { kind: 'failed', detail: 'unexpected error' };
        },
      ),
    move: (order) =>
      guardCall(
        () => hosts.move(order),
        (error) => {
          report('move-host', error, { hostId: order.hostId });
          return 'unanswered';
        },
      ),
    maintain: (order) =>
      guardCall(
        () => hosts.maintain(order),
        (error) => {
          report('maintain-host', error, { hostId: order.hostId });
          return 'unanswered';
        },
      ),
  };
}
