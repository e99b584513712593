/** What processes ask one another. */
import { z } from 'zod';
import type { HostListing, JobStatus, ServiceReport } from '@baobabdeck/scheduling';

/** A question on a job. */
const statusQuestion = z.object({
  kind: z.literal('job-status'),
  service: z.string(),
  queue: z.string(),
  jobId: z.string(),
});

/** A question on a queue. */
const pendingQuestion = z.object({
  kind: z.literal('pending-count'),
  service: z.string(),
  queue: z.string(),
});

/** A process tells a service's owner that a cancelling is stored, which its next read would show. */
const cancelNotice = z.object({ kind: z.literal('job-cancelled'), service: z.string(), jobId: z.string() });

/** The fleet's owner tells a service's owner its wishes and asks how it does. */
const fleetQuestion = z.object({
  kind: z.literal('service-report'),
  service: z.string(),
  releases: z.array(z.object({ hostId: z.string(), purpose: z.enum(['move', 'maintenance']) })).readonly(),
  returns: z.array(z.string()).readonly(),
  /** Epoch of the fleet's owner, and the number of its question: older ones that come late are not obeyed. */
  epoch: z.number(),
  sequence: z.number(),
});

/** A process asks the fleet's owner for the hosts of a pool. */
const hostsQuestion = z.object({ kind: z.literal('hosts-of-pool'), pool: z.string() });

/** A process that the store does not answer asks another whether it is answered. */
const contactQuestion = z.object({ kind: z.literal('store-contact') });

/** A member of the group that was dealt nothing, so that the list does not show it, tells a weaker one that it is there. */
const presentNotice = z.object({ kind: z.literal('member-present'), member: z.string() });

/** A process asks another whether it serves the fleet now. */
const heldQuestion = z.object({
  kind: z.literal('fleet-held'),
  /** Whether the process that asks would serve the fleet and nothing else. */
  isFree: z.boolean().default(false),
});

const host = z.object({
  hostId: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  dataCentre: z.string(),
  rack: z.string(),
  capacity: z.object({ milliCores: z.number(), memoryMegabytes: z.number(), accelerators: z.number() }),
  workerId: z.string().nullable(),
});

const question = z.discriminatedUnion('kind', [
  statusQuestion,
  pendingQuestion,
  cancelNotice,
  fleetQuestion,
  hostsQuestion,
  heldQuestion,
  contactQuestion,
  presentNotice,
]);

/** A question to the owner of a service. */
export type PeerRequest = z.infer<typeof question>;

/** A question's answer. */
export type PeerResponse =
  | { readonly kind: 'job-status'; readonly status: JobStatus }
  | { readonly kind: 'unknown-job' }
  | { readonly kind: 'cancel-noted' }
  | { readonly kind: 'pending-count'; readonly pending: number }
  | { readonly kind: 'service-report'; readonly report: ServiceReport }
  | {
      readonly kind: 'hosts-of-pool';
      readonly hosts: readonly HostListing[];
      /** Time since the list was asked for, when it was passed on. */
      readonly ageMilliseconds: number;
    }
  | { readonly kind: 'store-contact'; readonly isLost: boolean }
  | { readonly kind: 'member-noted' }
  /** The process asked serves the fleet. */
  | { readonly kind: 'fleet-held' }
  /** Another process serves the fleet; its name is that of a member. */
  | { readonly kind: 'held-by'; readonly member: string }
  /** The process asked does not own the service, or does not know yet. */
  | { readonly kind: 'not-owner' };

const answer = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('job-status'),
    status: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  }),
  z.object({ kind: z.literal('unknown-job') }),
  z.object({ kind: z.literal('cancel-noted') }),
  z.object({ kind: z.literal('pending-count'), pending: z.number() }),
  z.object({
    kind: z.literal('service-report'),
    report: z.object({
      service: z.string(),
      hosts: z.array(
        z.object({
          hostId: z.string(),
          workerId: z.string(),
          committedMilliCores: z.number(),
          taskCount: z.number(),
          lastingCount: z.number(),
          isSound: z.boolean(),
          release: z.enum(['released', 'draining']).nullable(),
        }),
      ),
      waitingMilliCores: z.number(),
      lastingMilliCores: z.number(),
      offeredMilliCores: z.number(),
      leastHosts: z.number(),
      missingHosts: z.number(),
    }),
  }),
  z.object({ kind: z.literal('hosts-of-pool'), hosts: z.array(host), ageMilliseconds: z.number() }),
  z.object({ kind: z.literal('store-contact'), isLost: z.boolean() }),
  z.object({ kind: z.literal('member-noted') }),
  z.object({ kind: z.literal('fleet-held') }),
  z.object({ kind: z.literal('held-by'), member: z.string() }),
  z.object({ kind: z.literal('not-owner') }),
]);

/** The question in a message, or null for something else. */
export function parsePeerRequest(content: unknown): PeerRequest | null {
  const parsed = question.safeParse(content);
  return parsed.success ? parsed.data : null;
}

/** The answer in a message, or null for something else. */
export function parsePeerResponse(content: unknown): PeerResponse | null {
  const parsed = answer.safeParse(content);
  return parsed.success ? parsed.data : null;
}
