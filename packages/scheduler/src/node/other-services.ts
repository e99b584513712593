/** Reaches the inboxes and the owners of services on behalf of a service owner in this process. */
import type { SubmissionWriter } from '../frontend/submission-writer.js';
import type { OtherServices } from '../owner/forwarding-effects.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { LogPartition } from '../ports/index.js';
import { subjectOfService } from './layout.js';

/** Dependencies of the access to other services. */
export interface OtherServicesParts {
  /** Returns the inbox of a service; null while this process does not know it. */
  readonly inboxOf: (service: string) => LogPartition | null;
  readonly append: SubmissionWriter['append'];
  readonly requestOnce: OwnerClient['requestOnce'];
}

/** Creates the access to other services. */
export function createOtherServices({ inboxOf, append, requestOnce }: OtherServicesParts): OtherServices {
  return {
    inboxOf,
    append,
    findUnknownJobs: async (service, jobIds) => {
      const request = { kind: 'unknown-jobs' as const, service, jobIds };
      const response = await requestOnce(subjectOfService(service), request);
      return response?.kind === 'unknown-jobs' ? response.jobIds : null;
    },
  };
}
