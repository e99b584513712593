/** Gives each call to the store that throws an unexpected error the outcome of a store that did not answer. */
import type { Store } from '../ports/index.js';
import { guardCall } from './guard-call.js';
import type { ReportUnexpectedError } from './report-unexpected-error.js';

const FAILED = { kind: 'failed', detail: 'unexpected error' } as const;

/** Wraps a store, so that no method rejects. */
export function guardStore(store: Store, report: ReportUnexpectedError): Store {
  return {
    append: (request) =>
      guardCall(
        () => store.append(request),
        (error) => {
          report('append', error, { ...request.partition, records: request.records.length });
          return { kind: 'unknown', detail: 'unexpected error' };
        },
      ),
    read: (partition, fromOffset, waitMilliseconds) =>
      guardCall(
        () => store.read(partition, fromOffset, waitMilliseconds),
        (error) => {
          report('read', error, { ...partition, fromOffset });
          return FAILED;
        },
      ),
    readNewest: (partition) =>
      guardCall(
        () => store.readNewest(partition),
        (error) => {
          report('read-newest', error, { ...partition });
          return FAILED;
        },
      ),
    join: (group, member, topics, generation) =>
      guardCall(
        () => store.join(group, member, topics, generation),
        (error) => {
          report('join', error, { group });
          return FAILED;
        },
      ),
    leave: (group, member) =>
      guardCall(
        () => store.leave(group, member),
        (error) => report('leave', error, { group }),
      ),
    listOwners: (group) =>
      guardCall(
        () => store.listOwners(group),
        (error) => {
          report('list-owners', error, { group });
          return FAILED;
        },
      ),
    partitionCount: store.partitionCount,
    limits: store.limits,
  };
}
