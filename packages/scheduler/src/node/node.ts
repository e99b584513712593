/** One process of the scheduler: its part of the services, its peers and its callers. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { listenForCalls, type CallServer } from '@baobabdeck/peer-protocol';
import type { WriteEvent } from '@baobabdeck/observability';
import {
  selectJobStatus,
  selectPendingCount,
  selectServiceReport,
  type ServiceState,
} from '@baobabdeck/scheduling';
import { createFleetOwner, type FleetOwner } from '../fleet/fleet-owner.js';
import { findQueue } from '../front/find-queue.js';
import { createFront } from '../front/front.js';
import { createSubmissionWriter } from '../front/submission-writer.js';
import { createServiceOwner, type ServiceOwner } from '../owner/service-owner.js';
import { createDirectory } from '../peers/directory.js';
import { readAnswer, readQuestion, type PeerAnswer, type PeerQuestion } from '../peers/messages.js';
import type {
  CallerService,
  HostService,
  LogPlace,
  OperatorFeed,
  QueueConfiguration,
  Store,
  WorkerOrders,
  WorkerRegister,
} from '../ports/index.js';
import { followConfiguration } from './configuration.js';
import { followHostLists } from './host-lists.js';
import {
  ensureLayout,
  FLEET_SUBJECT,
  isSamePlace,
  placeKey,
  serviceOf,
  subjectOf,
  topicsOf,
  type Layout,
} from './layout.js';
import { formatMember } from './member-name.js';
import { takeMembership } from './membership.js';
import { followRegister } from './register.js';
import type { SchedulerSettings } from './settings.js';
import type { SteadyClock } from './steady-clock.js';

const LAYOUT_RETRY_MILLISECONDS = 100;

/** Time after which a claim that was superseded is tried again, if the log is still dealt to this process. */
const RECLAIM_PAUSE_MILLISECONDS = 1_000;

/** Time that a stopping process goes on serving, so that the balancer sees it and sends no one. */
const DRAIN_MILLISECONDS = 2_500;

/** Time for one question of the fleet's owner to a service's. */
const FLEET_QUESTION_MILLISECONDS = 400;

/** What a process is built from. */
export interface NodeParts {
  readonly settings: SchedulerSettings;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly store: Store;
  readonly feed: OperatorFeed;
  readonly register: WorkerRegister;
  readonly workers: WorkerOrders;
  readonly hosts: HostService;
}

/** A running process. */
export interface SchedulerNode {
  readonly callers: CallerService;
  readonly stop: () => Promise<void>;
}

/** Starts a process. Rejects when its port is taken. */
export async function startNode(parts: NodeParts): Promise<SchedulerNode> {
  const { settings, clock, writeEvent, store } = parts;
  const owners = new Map<string, ServiceOwner>();
  const supersededAt = new Map<string, number>();
  let layout: Layout = new Map();
  let fleet: FleetOwner | null = null;
  let stopping = false;

  const toldRevisions = new WeakMap<ServiceOwner, number>();
  const register = followRegister(
    parts.register,
    () => owners.size > 0,
    () => owners.forEach(tellWorkers),
  );
  function tellWorkers(owner: ServiceOwner): void {
    const workers = register.workersOf(owner.service);
    const revision = register.revision();
    if (workers === null || owner.state() === null || toldRevisions.get(owner) === revision) return;
    toldRevisions.set(owner, revision);
    owner.dispatch({ kind: 'workers-listed', workers });
  }

  const answerHosts = (pool: string): PeerAnswer => {
    const listed = fleet?.hostsOf(pool) ?? null;
    if (listed === null) return { kind: 'not-owner' };
    const ageMilliseconds = clock.steadyNow() - listed.askedAt;
    return { kind: 'hosts-of-pool', hosts: listed.hosts, ageMilliseconds };
  };

  const answerQuestion = async (question: PeerQuestion): Promise<PeerAnswer> => {
    if (question.kind === 'hosts-of-pool') return answerHosts(question.pool);
    const owner = [...owners.values()].find((one) => one.service === question.service);
    const state = owner?.state() ?? null;
    if (owner === undefined || state === null) return { kind: 'not-owner' };
    if (question.kind === 'service-report') return answerFleet(owner, question);
    if (question.kind === 'pending-count') {
      return { kind: 'pending-count', pending: selectPendingCount(state, question.queue) };
    }
    return answerStatus(owner, state, question.queue, question.jobId);
  };

  const incarnation = randomUUID();
  const callServer: CallServer = await listenForCalls(
    settings.ip,
    settings.peerPort,
    async (content) => {
      const question = readQuestion(content);
      return question === null ? { kind: 'not-owner' } : answerQuestion(question);
    },
    (reason) => writeEvent('peerFault', { reason }),
  );
  const peerAddress = `${settings.ip}:${callServer.port}`;
  const member = formatMember({ nodeName: settings.nodeName, peerAddress, incarnation });

  const placesOf = (configuration: QueueConfiguration): readonly string[] => [
    FLEET_SUBJECT,
    ...configuration.services
      .filter((service) => !service.isStandby)
      .map((service) => subjectOf(service.name)),
  ];

  const adaptLayout = async (configuration: QueueConfiguration): Promise<void> => {
    const subjects = placesOf(configuration);
    const hasPlaces = (): boolean => subjects.every((subject) => layout.has(subject));
    while (!stopping && !hasPlaces()) {
      const found = await ensureLayout(store, subjects);
      if (found !== null) layout = found;
      else await sleep(LAYOUT_RETRY_MILLISECONDS);
    }
  };

  const follower = followConfiguration({
    feed: parts.feed,
    clock,
    writeEvent,
    onConfiguration: (configuration) => {
      void adaptLayout(configuration);
    },
    onWave: (wave) => writeEvent('waveAsked', { ...wave }),
  });

  const openOwner = (place: LogPlace, service: string): void => {
    const key = placeKey(place);
    const owner = createServiceOwner({
      service,
      place,
      member,
      parameters: settings.scheduling,
      store,
      workers: parts.workers,
      clock,
      writeEvent,
      suspectWorker: () => lists.suspect(),
      onClaimed: () => tellWorkers(owner),
      onSuperseded: () => {
        owners.delete(key);
        supersededAt.set(key, clock.steadyNow());
      },
    });
    owners.set(key, owner);
  };

  const directory = createDirectory(store, clock);

  const askOwner = async (subject: string, question: PeerQuestion): Promise<PeerAnswer | null> => {
    const place = layout.get(subject);
    if (place === undefined) return null;
    const isOurs = owners.has(placeKey(place)) || (fleet !== null && isSamePlace(fleet.place, place));
    if (isOurs) return answerQuestion(question);
    const owner = await directory.ownerOf(place);
    if (owner === null) return null;
    const answer = readAnswer(await directory.ask(owner, question, FLEET_QUESTION_MILLISECONDS));
    if (answer === null || answer.kind === 'not-owner') directory.distrust();
    return answer;
  };

  const openFleet = (place: LogPlace): void => {
    fleet = createFleetOwner({
      place,
      member,
      nodeName: settings.nodeName,
      parameters: settings.fleet,
      store,
      hosts: parts.hosts,
      feed: parts.feed,
      clock,
      writeEvent,
      configuration: follower.current,
      waves: follower.waves,
      askService: async (service, wishes, epoch, sequence) => {
        const question = { kind: 'service-report' as const, service, ...wishes, epoch, sequence };
        const answer = await askOwner(subjectOf(service), question);
        return answer?.kind === 'service-report' ? answer.report : null;
      },
      onSuperseded: () => {
        fleet = null;
        supersededAt.set(placeKey(place), clock.steadyNow());
      },
    });
  };

  const lists = followHostLists({
    hosts: parts.hosts,
    clock,
    writeEvent,
    pools: () => [...owners.values()].map((owner) => owner.service),
    askFleet: async (pool) => {
      // The list that comes back is at most so old as its sender says when this question is sent.
      const sentAt = clock.steadyNow();
      const answer = await askOwner(FLEET_SUBJECT, { kind: 'hosts-of-pool', pool });
      if (answer?.kind !== 'hosts-of-pool') return null;
      return { hosts: answer.hosts, askedAt: sentAt - answer.ageMilliseconds };
    },
    onListed: (pool, { hosts, askedAt }) => {
      const owner = [...owners.values()].find((one) => one.service === pool);
      owner?.dispatch({ kind: 'hosts-listed', hosts, askedAt });
    },
  });

  const workWithDealt = async (places: readonly LogPlace[]): Promise<void> => {
    const lost = [...owners.values()].filter(
      (owner) => !places.some((place) => isSamePlace(place, owner.place)),
    );
    await Promise.all(
      lost.map(async (owner) => {
        await owner.stop();
        owners.delete(placeKey(owner.place));
      }),
    );
    if (fleet !== null && !places.some((place) => fleet !== null && isSamePlace(place, fleet.place))) {
      const lostFleet = fleet;
      fleet = null;
      await lostFleet.stop();
    }
    if (stopping) return;
    for (const [subject, place] of layout) {
      const service = serviceOf(subject);
      const isDealt = places.some((dealt) => isSamePlace(dealt, place));
      const waitsUntil = (supersededAt.get(placeKey(place)) ?? -Infinity) + RECLAIM_PAUSE_MILLISECONDS;
      const isOpen = owners.has(placeKey(place));
      if (isDealt && clock.steadyNow() > waitsUntil) {
        if (service !== null && !isOpen) openOwner(place, service);
        if (service === null && fleet === null) openFleet(place);
      }
    }
  };

  const membership = takeMembership({
    store,
    member,
    writeEvent,
    topics: () => topicsOf(layout),
    onDealt: workWithDealt,
  });

  const front = createFront({
    clock,
    writeEvent,
    writer: createSubmissionWriter(store),
    directory,
    layout: () => layout,
    answerHere: answerQuestion,
    isOwnedHere: (place) => owners.has(placeKey(place)),
  });

  const readiness = (): ReturnType<CallerService['readiness']> => {
    if (stopping) return { isReady: false, reason: 'stopping' };
    if (follower.current() === null) return { isReady: false, reason: 'no configuration yet' };
    return { isReady: true, reason: 'ready' };
  };

  return {
    callers: {
      ...front,
      findQueue: (hostName, path) => findQueue(follower.current(), hostName, path),
      readiness,
      isStopping: () => stopping,
      bodyLimitBytes: () => follower.current()?.limits.bodyBytes ?? null,
    },
    stop: async () => {
      stopping = true;
      await Promise.all([...owners.values()].map((owner) => owner.stop()));
      owners.clear();
      await fleet?.stop();
      await membership.leave();
      await sleep(DRAIN_MILLISECONDS);
      follower.close();
      register.close();
      lists.close();
      directory.close();
      callServer.close();
    },
  };
}

/** Tells a service's scheduler which hosts the fleet's owner wants, and reports. */
function answerFleet(
  owner: ServiceOwner,
  { releases, returns, epoch, sequence }: Extract<PeerQuestion, { readonly kind: 'service-report' }>,
): PeerAnswer {
  owner.dispatch({ kind: 'hosts-wished', releases, returns, epoch, sequence });
  const state = owner.state();
  if (state === null) return { kind: 'not-owner' };
  return { kind: 'service-report', report: selectServiceReport(state) };
}

/** A job that the state does not know may have been accepted a moment ago: the log is read to its end first. */
async function answerStatus(
  owner: ServiceOwner,
  state: ServiceState,
  queue: string,
  jobId: string,
): Promise<PeerAnswer> {
  const known = selectJobStatus(state, queue, jobId);
  if (known !== null) return { kind: 'job-status', status: known };
  const isCaughtUp = await owner.catchUp();
  const caughtUp = owner.state();
  if (!isCaughtUp || caughtUp === null) return { kind: 'not-owner' };
  const status = selectJobStatus(caughtUp, queue, jobId);
  return status === null ? { kind: 'unknown-job' } : { kind: 'job-status', status };
}
