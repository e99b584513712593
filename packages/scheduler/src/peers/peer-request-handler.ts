/** Answers what other processes ask of the services and the fleet that this process owns. */
import {
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

/** What this process owns. */
export interface PeerRequestHandlerParts {
  readonly clock: SteadyClock;
  readonly ownerOf: (service: string) => ServiceOwner | null;
  readonly fleet: () => FleetOwner | null;
  /** The process that serves the fleet in this one's place; null for none. */
  readonly fleetHolder: () => GroupMember | null;
  /** Leaves the fleet to a process that serves nothing else, if this one does. */
  readonly handFleetOver: () => void;
  readonly isStoreLost: () => boolean;
  /** Another process says that it is in the group. */
  readonly noteMember: (member: GroupMember) => void;
}

/** Tells a service's scheduler which hosts the fleet's owner wants, and reports. */
function answerFleet(
  owner: ServiceOwner,
  { releases, returns, epoch, sequence }: Extract<PeerRequest, { readonly kind: 'service-report' }>,
): PeerResponse {
  owner.dispatch({ kind: 'hosts-wished', releases, returns, epoch, sequence });
  const report = owner.select('report-asked', selectServiceReport);
  return report === null ? NOT_OWNER : { kind: 'service-report', report };
}

function noteCancel(owner: ServiceOwner, jobId: string): PeerResponse {
  const records = [{ offset: 0, record: { kind: 'job-cancelled' as const, jobId } }];
  // The notice proves no ownership, so it counts as asked for before the claim.
  owner.dispatch({ kind: 'records-read', records, askedAt: -Infinity });
  return { kind: 'cancel-noted' };
}

/** A job that the state does not know may have been accepted a moment ago: the log is read to its end first. */
async function answerStatus(
  owner: ServiceOwner,
  state: ServiceState,
  queue: string,
  jobId: string,
): Promise<PeerResponse> {
  const known = selectJobStatus(state, queue, jobId);
  if (known !== null) return { kind: 'job-status', status: known };
  const isCaughtUp = await owner.catchUp();
  const caughtUp = owner.state();
  if (!isCaughtUp || caughtUp === null) return NOT_OWNER;
  const status = selectJobStatus(caughtUp, queue, jobId);
  return status === null ? { kind: 'unknown-job' } : { kind: 'job-status', status };
}

/** Creates the answers. */
export function createPeerRequestHandler({
  clock,
  ownerOf,
  fleet,
  fleetHolder,
  handFleetOver,
  isStoreLost,
  noteMember,
}: PeerRequestHandlerParts): (question: PeerRequest) => Promise<PeerResponse> {
  const answerHosts = (pool: string): PeerResponse => {
    const holder = fleet() === null ? fleetHolder() : null;
    if (holder !== null) return { kind: 'held-by', member: formatMember(holder) };
    const listed = fleet()?.hostsOf(pool) ?? null;
    if (listed === null) return NOT_OWNER;
    const ageMilliseconds = clock.steadyNow() - listed.askedAt;
    return { kind: 'hosts-of-pool', hosts: listed.hosts, ageMilliseconds };
  };

  const answerHeld = (isFree: boolean): PeerResponse => {
    if (fleet()?.isServing() !== true) return NOT_OWNER;
    if (isFree) handFleetOver();
    return { kind: 'fleet-held' };
  };

  const notePresent = (text: string): PeerResponse => {
    const member = parseMember(text);
    if (member !== null) noteMember(member);
    return { kind: 'member-noted' };
  };

  return async (question) => {
    if (question.kind === 'member-present') return notePresent(question.member);
    if (question.kind === 'store-contact') return { kind: 'store-contact', isLost: isStoreLost() };
    if (question.kind === 'fleet-held') return answerHeld(question.isFree);
    if (question.kind === 'hosts-of-pool') return answerHosts(question.pool);
    const owner = ownerOf(question.service);
    const state = owner?.state() ?? null;
    if (owner === null || state === null) return NOT_OWNER;
    if (question.kind === 'service-report') return answerFleet(owner, question);
    if (question.kind === 'job-cancelled') return noteCancel(owner, question.jobId);
    if (question.kind === 'pending-count') {
      return { kind: 'pending-count', pending: selectPendingCount(state, question.queue) };
    }
    return answerStatus(owner, state, question.queue, question.jobId);
  };
}
