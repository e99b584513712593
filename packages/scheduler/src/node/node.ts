/** One process of the scheduler: its part of the services, its peers and its callers. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import { createFleetStandby } from '../fleet/fleet-standby.js';
import { createFleetOwner } from '../fleet/fleet-owner.js';
import { findQueue } from '../front/find-queue.js';
import { createFront } from '../front/front.js';
import { createSubmissionWriter } from '../front/submission-writer.js';
import { watchLoop } from '../measure/loop-watch.js';
import { createServiceOwner } from '../owner/service-owner.js';
import { createOwnerClient } from '../peers/owner-client.js';
import { createDirectory } from '../peers/directory.js';
import { parsePeerRequest } from '../peers/messages.js';
import { createPeerRequestHandler } from '../peers/peer-request-handler.js';
import type {
  CallerService,
  HostService,
  OperatorFeed,
  PeerNetwork,
  Store,
  WorkerOrders,
  WorkerRegister,
} from '../ports/index.js';
import { watchCandidacy } from './candidacy.js';
import { followConfiguration } from './configuration.js';
import { subjectOfService, inboxTopicsOf } from './layout.js';
import { explainSubject, selectStatus, type NodeStatus } from './explain.js';
import { createLayoutKeeper } from './layout-keeper.js';
import { formatMember, type GroupMember } from './group-member.js';
import { takeMembership } from './membership.js';
import { createOwnedLogs } from './owned-logs.js';
import type { SchedulerSettings } from './settings.js';
import { watchStoreReadiness } from './store-readiness.js';
import { watchStore } from './watched-store.js';
import type { SteadyClock } from './steady-clock.js';
import { followWorkerNews, type WorkerNews } from './worker-news.js';

/** Time that a stopping process goes on serving, so that the balancer sees it and sends no one. */
const DRAIN_MILLISECONDS = 2_500;

/** What a process is built from. */
export interface NodeParts {
  readonly settings: SchedulerSettings;
  /** Differs for each run of the process. */
  readonly incarnation: string;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly measures: ProcessMeasures;
  readonly store: Store;
  readonly feed: OperatorFeed;
  readonly register: WorkerRegister;
  readonly workers: WorkerOrders;
  readonly hosts: HostService;
  readonly peers: PeerNetwork;
}

/** A running process. */
export interface SchedulerNode {
  readonly callers: CallerService;
  readonly status: () => NodeStatus;
  /** What this process knows of a job, worker, host or pool; null where it knows nothing. */
  readonly explain: (kind: string, name: string) => unknown;
  readonly stop: () => Promise<void>;
}

/** Starts a process. Rejects when its port is taken. */
export async function startNode(parts: NodeParts): Promise<SchedulerNode> {
  const { settings, clock, writeEvent, measures, feed, hosts, peers } = parts;
  const { store, isLost: isStoreLost } = watchStore(parts.store, clock);
  const { nodeName } = settings;
  let stopping = false;
  const loopWatch = watchLoop({ clock, writeEvent, measures });

  const keeper = createLayoutKeeper(store, clock);
  const follower = followConfiguration({
    feed,
    clock,
    writeEvent,
    onConfiguration: keeper.adapt,
    onWave: (wave) => writeEvent('waveAsked', { ...wave }),
  });

  const answerHere = createPeerRequestHandler({
    clock,
    ownerOf: (service) => logs.serviceOf(service),
    fleet: () => logs.fleet(),
    fleetHolder: () => standby.holder(),
    handFleetOver: () => logs.handFleetOver(),
    isStoreLost,
    noteMember: (present) => candidacy.noteMember(present),
  });
  const peerAddress = await peers.listen(async (content) => {
    const question = parsePeerRequest(content);
    return question === null ? { kind: 'not-owner' } : answerHere(question);
  });
  const self: GroupMember = {
    nodeName,
    peerAddress,
    incarnation: parts.incarnation,
    milliCores: settings.milliCores,
  };
  const member = formatMember(self);
  const directory = createDirectory(store, peers, clock);
  const questions = createOwnerClient({
    clock,
    directory,
    layout: keeper.layout,
    isOwnedHere: (place) => logs.has(place),
    answerHere,
    isStoreLost,
  });

  const standing = watchStoreReadiness({
    clock,
    isStoreLost,
    peers: () => directory.members().filter((one) => formatMember(one) !== member),
    ask: questions.requestFrom,
  });
  const standby = createFleetStandby({
    store,
    clock,
    self,
    ownsService: () => logs.services().length > 0,
    ask: questions.requestFrom,
  });

  const logs = createOwnedLogs({
    clock,
    layout: keeper.layout,
    whenFleetIsVacant: standby.look,
    openService: (place, service, onGivenUp) => {
      const owner = createServiceOwner({
        service,
        place,
        member,
        parameters: settings.scheduling,
        store,
        workers: parts.workers,
        clock,
        writeEvent,
        measures,
        suspectWorker: () => news.suspect(),
        onClaimed: () => news.tell(owner),
        onGivenUp,
      });
      return owner;
    },
    openFleet: (place, onSuperseded) =>
      createFleetOwner({
        place,
        member,
        nodeName,
        parameters: settings.fleet,
        store,
        hosts,
        feed,
        clock,
        writeEvent,
        measures,
        configuration: follower.current,
        waves: follower.waves,
        askService: async (service, wishes, epoch, sequence) => {
          const question = { kind: 'service-report' as const, service, ...wishes, epoch, sequence };
          const answer = await questions.requestOnce(subjectOfService(service), question);
          return answer?.kind === 'service-report' ? answer.report : null;
        },
        onSuperseded,
      }),
  });
  const news: WorkerNews = followWorkerNews({
    clock,
    writeEvent,
    register: parts.register,
    hosts,
    logs,
    questions,
  });
  const candidacy = watchCandidacy({
    clock,
    writeEvent,
    self,
    placeCount: () => keeper.layout().size,
    readMembers: directory.readAgain,
    members: directory.members,
    ask: questions.requestFrom,
    isStoreLost,
    isUnseen: () => membership.isWithoutPlace(),
  });
  const membership = takeMembership({
    store,
    clock,
    member,
    writeEvent,
    isCandidate: candidacy.isCandidate,
    topics: () => inboxTopicsOf(keeper.layout()),
    onDealt: logs.follow,
    onSteppingOut: logs.giveUp,
  });
  const front = createFront({
    clock,
    writeEvent,
    writer: createSubmissionWriter(store),
    isStoreLost,
    layout: keeper.layout,
    questions,
  });

  const readiness = (): ReturnType<CallerService['readiness']> => {
    if (stopping) return { isReady: false, reason: 'stopping' };
    if (follower.current() === null) return { isReady: false, reason: 'no configuration yet' };
    if (standing.isUnready()) {
      return { isReady: false, reason: 'the store does not answer this process' };
    }
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
    status: () => selectStatus(logs, clock.steadyNow()),
    explain: (kind, name) => explainSubject(logs, kind, name),
    stop: async () => {
      stopping = true;
      candidacy.close();
      await logs.stop();
      await membership.leave();
      await clock.sleep(DRAIN_MILLISECONDS);
      loopWatch.close();
      standing.close();
      keeper.close();
      follower.close();
      news.close();
      peers.close();
    },
  };
}
