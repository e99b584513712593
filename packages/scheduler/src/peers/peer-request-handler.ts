/** Answers requests from other processes about the services and the fleet that this process owns. */
import {
  isJobOfOtherWorkspace,
  selectFailureReason,
  selectForwardedTo,
  selectForwardingTargets,
  selectJobStatus,
  selectPendingCount,
  selectServiceReport,
  type ServiceState,
} from '@baobabdeck/scheduling';
import type { FleetOwner } from '../fleet/fleet-owner.js';
import { formatMember, parseMember, type GroupMember } from '../node/group-member.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { PeerResponse, PeerRequest } from './messages.js';

const NOT_OWNER: PeerResponse = { kind: 'not-owner' };

/** Dependencies of the request handler. */
export interface PeerRequestHandlerParts {
  readonly clock: SteadyClock;
  readonly ownerOf: (service: string) => ServiceOwner | null;
  readonly fleet: () => FleetOwner | null;
  /** The other process that serves the fleet, though this one is assigned its inbox; null if there is none. */
  readonly remoteFleetOwner: () => GroupMember | null;
  /** Gives up the fleet to a process that owns no service, if this one owns a service. */
  readonly handOverFleet: () => void;
  readonly isStoreLost: () => boolean;
  /** Records the notice of another process that it is in the group. */
  readonly recordMember: (member: GroupMember) => void;
  /** Records an offer to relay orders; returns whether relays are used now. */
  readonly takeRelayOffer: (offer: Extract<PeerRequest, { readonly kind: 'relay-offer' }>) => boolean;
}

/** Passes the hosts that the fleet owner requests to the service owner, and returns the report of the service. */
function answerServiceReport(
  owner: ServiceOwner,
  { releases, returns, epoch, sequence, grants }: Extract<PeerRequest, { readonly kind: 'service-report' }>,
): PeerResponse {
  owner.dispatch({ kind: 'host-requests-received', releases, returns, epoch, sequence, grants });
  const report = owner.select('report-asked', selectServiceReport);
  return report === null ? NOT_OWNER : { kind: 'service-report', report };
}

function recordCancellation(
  owner: ServiceOwner,
  state: ServiceState,
  { jobId, workspace }: Extract<PeerRequest, { readonly kind: 'job-cancelled' }>,
): PeerResponse {
  if (isJobOfOtherWorkspace(state, jobId, workspace)) return { kind: 'unknown-job' };
  const records = [{ offset: 0, record: { kind: 'job-cancelled' as const, jobId } }];
  // The notice does not prove ownership, so its read counts as requested before the claim.
  owner.dispatch({ kind: 'records-read', records, askedAt: -Infinity });
  return { kind: 'cancel-noted' };
}

/** Returns the status of a job as far as it is known without a read; null if the job is unknown. */
function findJobStatus(
  state: ServiceState,
  { queue, queueAddress, jobId, workspace }: Extract<PeerRequest, { readonly kind: 'job-status' }>,
): PeerResponse | null {
  const reference = { name: queue, address: queueAddress };
  const forwardedTo = selectForwardedTo(state, reference, jobId, workspace);
  if (forwardedTo?.kind === 'sent') return { kind: 'job-forwarded', service: forwardedTo.service };
  // The request is repeated until the other service can answer.
  if (forwardedTo?.kind === 'sending') return NOT_OWNER;
  const status = selectJobStatus(state, reference, jobId, workspace);
  if (status === null) return null;
  return { kind: 'job-status', status, failureReason: selectFailureReason(state, jobId) };
}

/** Returns the status of a job. Reads the log to its end for an unknown job, which may just have been accepted. */
async function answerJobStatus(
  owner: ServiceOwner,
  state: ServiceState,
  request: Extract<PeerRequest, { readonly kind: 'job-status' }>,
): Promise<PeerResponse> {
  const known = findJobStatus(state, request);
  if (known !== null) return known;
  const isCaughtUp = await owner.catchUp();
  const caughtUp = owner.state();
  if (!isCaughtUp || caughtUp === null) return NOT_OWNER;
  return findJobStatus(caughtUp, request) ?? { kind: 'unknown-job' };
}

/** Returns which jobs are unknown after all that was accepted so far has been read. */
async function answerUnknownJobs(owner: ServiceOwner, jobIds: readonly string[]): Promise<PeerResponse> {
  const isCaughtUp = await owner.catchUp();
  const state = owner.state();
  if (!isCaughtUp || state === null) return NOT_OWNER;
  return { kind: 'unknown-jobs', jobIds: jobIds.filter((jobId) => !state.jobs.has(jobId)) };
}

/** Creates the request handler. */
export function createPeerRequestHandler({
  clock,
  ownerOf,
  fleet,
  remoteFleetOwner,
  handOverFleet,
  isStoreLost,
  recordMember,
  takeRelayOffer,
}: PeerRequestHandlerParts): (request: PeerRequest) => Promise<PeerResponse> {
  const answerHostsOfPool = (pool: string): PeerResponse => {
    const otherOwner = fleet() === null ? remoteFleetOwner() : null;
    if (otherOwner !== null) return { kind: 'held-by', member: formatMember(otherOwner) };
    const listed = fleet()?.hostsInPool(pool) ?? null;
    if (listed === null) return NOT_OWNER;
    const ageMilliseconds = clock.steadyNow() - listed.askedAt;
    return { kind: 'hosts-of-pool', hosts: listed.hosts, ageMilliseconds };
  };

  const answerFleetHeld = (isFree: boolean): PeerResponse => {
    if (fleet()?.isServing() !== true) return NOT_OWNER;
    if (isFree) handOverFleet();
    return { kind: 'fleet-held' };
  };

  const recordPresentMember = (text: string): PeerResponse => {
    const member = parseMember(text);
    if (member !== null) recordMember(member);
    return { kind: 'member-noted' };
  };

  return async (request) => {
    if (request.kind === 'member-present') return recordPresentMember(request.member);
    if (request.kind === 'relay-offer') {
      return { kind: 'relay-offer-noted', wantsRelays: takeRelayOffer(request) };
    }
    if (request.kind === 'store-contact') return { kind: 'store-contact', isLost: isStoreLost() };
    if (request.kind === 'fleet-held') return answerFleetHeld(request.isFree);
    if (request.kind === 'hosts-of-pool') return answerHostsOfPool(request.pool);
    const owner = ownerOf(request.service);
    const state = owner?.state() ?? null;
    if (owner === null || state === null) return NOT_OWNER;
    if (request.kind === 'service-report') return answerServiceReport(owner, request);
    if (request.kind === 'job-cancelled') return recordCancellation(owner, state, request);
    if (request.kind === 'pending-count') {
      const queue = { name: request.queue, address: request.queueAddress };
      const pending = selectPendingCount(state, queue, clock.steadyNow());
      const forwardedTo = selectForwardingTargets(state, queue);
      return pending === null ? NOT_OWNER : { kind: 'pending-count', pending, forwardedTo };
    }
    if (request.kind === 'unknown-jobs') return answerUnknownJobs(owner, request.jobIds);
    return answerJobStatus(owner, state, request);
  };
}
