/** Finds the service that schedules a job of a queue, and counts the pending jobs of a queue in all its services. */
import type { JobStatus } from '@baobabdeck/scheduling';
import { subjectOfService } from '../node/layout.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { PeerRequest, PeerResponse } from '../peers/messages.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { Queue } from '../ports/index.js';
import { queueAddressOf } from './queue-address.js';
import type { QueueHomes } from './queue-homes.js';

/** Share of the remaining time for which the present service is asked before the home. */
const PRESENT_SERVICE_SHARE = 0.5;

/** Age up to which a read of the homes serves for a count, which may be 2 s old. */
const HOMES_AGE_MILLISECONDS = 1_000;

/** Where a job is. */
export type JobLookup =
  | {
      readonly kind: 'known';
      /** The service that schedules the job. */
      readonly service: string;
      readonly status: JobStatus;
      /** Why the job has failed; null if it has not, or if that is not known. */
      readonly failureReason: string | null;
    }
  | { readonly kind: 'unknown-job' }
  /** An owner that may know the job does not answer. */
  | { readonly kind: 'unavailable' };

/** Lookups of jobs; `until` is a time on the steady clock. */
export interface JobLookups {
  readonly find: (queue: Queue, jobId: string, until: number, workspace: string | null) => Promise<JobLookup>;
  /** The number of pending jobs of a queue; null if an owner does not answer. */
  readonly countPending: (queue: Queue, until: number) => Promise<number | null>;
}

/** Dependencies of the lookups. */
export interface JobLookupParts {
  readonly clock: SteadyClock;
  readonly ownerClient: OwnerClient;
  readonly homes: QueueHomes;
}

type JobStatusRequest = Extract<PeerRequest, { readonly kind: 'job-status' }>;

const UNAVAILABLE: JobLookup = { kind: 'unavailable' };

function lookupOf(service: string, answer: PeerResponse | null): JobLookup {
  if (answer?.kind === 'unknown-job') return { kind: 'unknown-job' };
  if (answer?.kind !== 'job-status') return UNAVAILABLE;
  return { kind: 'known', service, status: answer.status, failureReason: answer.failureReason };
}

/** Creates the lookups. */
export function createJobLookups({ clock, ownerClient, homes }: JobLookupParts): JobLookups {
  const ask = (service: string, request: PeerRequest, until: number): Promise<PeerResponse | null> =>
    ownerClient.requestUntil(subjectOfService(service), request, until);

  const askService = async (service: string, request: JobStatusRequest, until: number): Promise<JobLookup> =>
    lookupOf(service, await ask(service, { ...request, service }, until));

  /** Asks the home, whose answer is final: only it decides which jobs of the queue are accepted, and where they are. */
  const askHome = async (home: string, request: JobStatusRequest, until: number): Promise<JobLookup> => {
    const answer = await ask(home, { ...request, service: home }, until);
    return answer?.kind === 'job-forwarded'
      ? askService(answer.service, request, until)
      : lookupOf(home, answer);
  };

  const find: JobLookups['find'] = async (queue, jobId, until, workspace) => {
    const { service } = queue;
    const request: JobStatusRequest = {
      kind: 'job-status',
      service,
      queue: queue.name,
      queueAddress: queueAddressOf(queue),
      jobId,
      workspace,
    };
    const knownHome = homes.known(queue);
    if (knownHome === service) return askHome(service, request, until);
    // The present service has all newer jobs, and the home may be without an owner.
    const now = clock.steadyNow();
    const first = await askService(service, request, now + (until - now) * PRESENT_SERVICE_SHARE);
    if (first.kind === 'known') return first;
    const home = await homes.find(queue, 0);
    if (home.kind === 'unavailable') return UNAVAILABLE;
    return home.kind === 'none' ? first : askHome(home.service, request, until);
  };

  const countPending: JobLookups['countPending'] = async (queue, until) => {
    const lookup = await homes.find(queue, HOMES_AGE_MILLISECONDS);
    if (lookup.kind === 'unavailable') return null;
    const home = lookup.kind === 'found' ? lookup.service : queue.service;
    const request = {
      kind: 'pending-count' as const,
      service: home,
      queue: queue.name,
      queueAddress: queueAddressOf(queue),
    };
    const answer = await ask(home, request, until);
    if (answer?.kind !== 'pending-count') return null;
    const others = await Promise.all(
      answer.forwardedTo.map((service) => ask(service, { ...request, service }, until)),
    );
    return others.reduce<number | null>(
      (sum, other) => (sum === null || other?.kind !== 'pending-count' ? null : sum + other.pending),
      answer.pending,
    );
  };

  return { find, countPending };
}
