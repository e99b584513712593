/** Access to other services that reaches none. */
import type { OtherServices } from '../owner/forwarding-effects.js';

export const NO_OTHER_SERVICES: OtherServices = {
  inboxOf: () => null,
  append: () => Promise.resolve({ kind: 'refused', detail: 'no other service' }),
  findUnknownJobs: () => Promise.resolve(null),
};
