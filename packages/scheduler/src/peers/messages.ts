/** The messages between processes: requests, notices and their responses. */
import { z } from 'zod';
import type { HostListing, JobStatus, ServiceReport } from '@baobabdeck/scheduling';

/** The workspace of the caller's key; null if the call needed none. Absent in messages of earlier versions. */
const callerWorkspace = z.string().nullable().default(null);

/** Host name and path prefix of a queue. Absent in messages of earlier versions. */
const queueAddress = z.string().nullable().default(null);

/** Requests the status of a job. */
const jobStatusRequest = z.object({
  kind: z.literal('job-status'),
  service: z.string(),
  queue: z.string(),
  queueAddress,
  jobId: z.string(),
  workspace: callerWorkspace,
});

/** Requests the number of pending jobs of a queue. */
const pendingCountRequest = z.object({
  kind: z.literal('pending-count'),
  service: z.string(),
  queue: z.string(),
  queueAddress,
});

/** Asks the owner of a service which of some forwarded jobs it does not know. */
const unknownJobsRequest = z.object({
  kind: z.literal('unknown-jobs'),
  service: z.string(),
  jobIds: z.array(z.string()).readonly(),
});

/** Notifies a service owner of a stored cancellation before its next read finds it. */
const jobCancelledNotice = z.object({
  kind: z.literal('job-cancelled'),
  service: z.string(),
  jobId: z.string(),
  workspace: callerWorkspace,
});

const resources = z.object({
  milliCores: z.number(),
  memoryMegabytes: z.number(),
  accelerators: z.number(),
});

/** Null for no limit. */
const resourceCap = z.object({
  milliCores: z.number().nullable(),
  memoryMegabytes: z.number().nullable(),
  accelerators: z.number().nullable(),
});

const serviceGrants = z.object({
  ownerEpoch: z.number(),
  cappedVersion: z.number(),
  workspaces: z
    .array(
      z.object({
        workspace: z.string(),
        limit: resourceCap,
        cap: resourceCap,
        // Earlier versions allow no start beyond the limit.
        oversizedLimit: resourceCap.nullable().default(null),
        weight: z.number(),
      }),
    )
    .readonly(),
});

/** Sent by the fleet owner: the hosts that a service owner should release or take back, and a request for its report. */
const serviceReportRequest = z.object({
  kind: z.literal('service-report'),
  service: z.string(),
  releases: z.array(z.object({ hostId: z.string(), purpose: z.enum(['move', 'maintenance']) })).readonly(),
  returns: z.array(z.string()).readonly(),
  /** Epoch of the fleet owner and number of the request: delayed requests that are older than the last are ignored. */
  epoch: z.number(),
  sequence: z.number(),
  /** Null if the fleet owner grants nothing with this request; earlier versions send none. */
  grants: serviceGrants.nullable().default(null),
});

/** Requests the hosts of a pool from the fleet owner. */
const hostsOfPoolRequest = z.object({ kind: z.literal('hosts-of-pool'), pool: z.string() });

/** Asks another process whether the store answers it. */
const storeContactRequest = z.object({ kind: z.literal('store-contact') });

/** Notifies a weaker member that the sender is in the group, though without partitions, so that the member list omits it. */
const memberPresentNotice = z.object({ kind: z.literal('member-present'), member: z.string() });

/** Asks another process whether it serves the fleet. */
const fleetHeldRequest = z.object({
  kind: z.literal('fleet-held'),
  /** Whether the sender owns no service, so that it would serve only the fleet. */
  isFree: z.boolean().default(false),
});

/** Offers to relay orders to workers. */
const relayOffer = z.object({
  kind: z.literal('relay-offer'),
  member: z.string(),
  /** Processor capacity of the sender, in thousandths of a core, and the share of it that is idle. */
  milliCores: z.number(),
  idleShare: z.number(),
  /** Link in Mbit/s; null if unknown. */
  linkMegabits: z.number().nullable(),
});

const host = z.object({
  hostId: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  dataCentre: z.string(),
  rack: z.string(),
  capacity: resources,
  workerId: z.string().nullable(),
});

const requestSchema = z.discriminatedUnion('kind', [
  jobStatusRequest,
  pendingCountRequest,
  unknownJobsRequest,
  jobCancelledNotice,
  serviceReportRequest,
  hostsOfPoolRequest,
  fleetHeldRequest,
  storeContactRequest,
  memberPresentNotice,
  relayOffer,
]);

/** A request or notice from another process. */
export type PeerRequest = z.infer<typeof requestSchema>;

/** The response to a request or notice. */
export type PeerResponse =
  | {
      readonly kind: 'job-status';
      readonly status: JobStatus;
      /** Why the job has failed; null if it has not, or if that is not known. */
      readonly failureReason: string | null;
    }
  | { readonly kind: 'unknown-job' }
  /** The job was forwarded to another service, whose inbox holds it. */
  | { readonly kind: 'job-forwarded'; readonly service: string }
  | { readonly kind: 'unknown-jobs'; readonly jobIds: readonly string[] }
  | { readonly kind: 'cancel-noted' }
  | {
      readonly kind: 'pending-count';
      readonly pending: number;
      /** Other services that may have jobs of the queue. */
      readonly forwardedTo: readonly string[];
    }
  | { readonly kind: 'service-report'; readonly report: ServiceReport }
  | {
      readonly kind: 'hosts-of-pool';
      readonly hosts: readonly HostListing[];
      /** Age of the list when the response was sent, counted from its request to the platform. */
      readonly ageMilliseconds: number;
    }
  | { readonly kind: 'store-contact'; readonly isLost: boolean }
  | { readonly kind: 'member-noted' }
  /** The responding process has taken note of an offer; whether it uses relays now. */
  | { readonly kind: 'relay-offer-noted'; readonly wantsRelays: boolean }
  /** The responding process serves the fleet. */
  | { readonly kind: 'fleet-held' }
  /** Another process serves the fleet; `member` is its member name. */
  | { readonly kind: 'held-by'; readonly member: string }
  /** The responding process does not own the service or the fleet, or has not recovered its state yet. */
  | { readonly kind: 'not-owner' };

const responseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('job-status'),
    status: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
    failureReason: z.string().nullable().default(null),
  }),
  z.object({ kind: z.literal('unknown-job') }),
  z.object({ kind: z.literal('job-forwarded'), service: z.string() }),
  z.object({ kind: z.literal('unknown-jobs'), jobIds: z.array(z.string()) }),
  z.object({ kind: z.literal('cancel-noted') }),
  z.object({
    kind: z.literal('pending-count'),
    pending: z.number(),
    // Earlier versions forward no jobs.
    forwardedTo: z.array(z.string()).default([]),
  }),
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
      workspaces: z
        .array(
          z.object({
            workspace: z.string(),
            running: resources,
            waiting: resources,
            largestStart: resources,
            hasOversizedStart: z.boolean().default(false),
            hasLargeStart: z.boolean().default(false),
            granted: resourceCap,
            mayStartOversized: z.boolean().default(false),
          }),
        )
        .default([]),
      grants: z
        .object({
          ownerEpoch: z.number(),
          epoch: z.number(),
          sequence: z.number(),
          provenSequence: z.number(),
        })
        .default({ ownerEpoch: 0, epoch: 0, sequence: 0, provenSequence: 0 }),
    }),
  }),
  z.object({ kind: z.literal('hosts-of-pool'), hosts: z.array(host), ageMilliseconds: z.number() }),
  z.object({ kind: z.literal('store-contact'), isLost: z.boolean() }),
  z.object({ kind: z.literal('member-noted') }),
  z.object({ kind: z.literal('relay-offer-noted'), wantsRelays: z.boolean() }),
  z.object({ kind: z.literal('fleet-held') }),
  z.object({ kind: z.literal('held-by'), member: z.string() }),
  z.object({ kind: z.literal('not-owner') }),
]);

/** Parses a request; null if the content is not one. */
export function parsePeerRequest(content: unknown): PeerRequest | null {
  const parsed = requestSchema.safeParse(content);
  return parsed.success ? parsed.data : null;
}

/** Parses a response; null if the content is not one. */
export function parsePeerResponse(content: unknown): PeerResponse | null {
  const parsed = responseSchema.safeParse(content);
  return parsed.success ? parsed.data : null;
}
