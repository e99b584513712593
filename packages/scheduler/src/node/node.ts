/** One process of the scheduler: its part of the services, its peers and its callers. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import { createFleetStandby } from '../fleet/fleet-standby.js';
import { createFleetOwner } from '../fleet/fleet-owner.js';
import { findQueue } from '../frontend/find-queue.js';
import { createFrontend } from '../frontend/frontend.js';
import { createSubmissionWriter } from '../frontend/submission-writer.js';
import { monitorEventLoop } from '../measure/event-loop-monitor.js';
import { createServiceOwner } from '../owner/service-owner.js';
import { createOwnerQuestions } from '../peers/ask-owner.js';
import { createDirectory } from '../peers/directory.js';
import { readQuestion } from '../peers/messages.js';
import { createPeerDesk } from '../peers/peer-desk.js';
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
import { subjectOf, topicsOf } from './layout.js';
import { explainSubject, selectStatus, type NodeStatus } from './explain.js';
import { createLayoutKeeper } from './layout-keeper.js';
import { formatMember, type MemberName } from './member-name.js';
import { takeMembership } from './membership.js';
import { createOwnedLogs } from './owned-logs.js';
import type { SchedulerSettings } from './settings.js';
import { watchStanding } from './standing.js';
import { watchStore } from './store-contact.js';
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
  const loopWatch = monitorEventLoop({ clock, writeEvent, measures });

  const keeper = createLayoutKeeper(store, clock);
  const follower = followConfiguration({
    feed,
    clock,
    writeEvent,
    onConfiguration: keeper.adapt,
    onWave: (wave) => writeEvent('waveAsked', { ...wave }),
  });

  const answerHere = createPeerDesk({
    clock,
    ownerOf: (service) => logs.serviceOf(service),
    fleet: () => logs.fleet(),
    fleetHolder: () => standby.currentOwner(),
    handFleetOver: () => logs.handFleetOver(),
    isStoreLost,
    noteMember: (present) => candidacy.noteMember(present),
  });
  const peerAddress = await peers.listen(async (content) => {
    const question = readQuestion(content);
    return question === null ? { kind: 'not-owner' } : answerHere(question);
  });
  const self: MemberName = {
    nodeName,
    peerAddress,
    incarnation: parts.incarnation,
    milliCores: settings.milliCores,
  };
  const member = formatMember(self);
  const directory = createDirectory(store, peers, clock);
  const questions = createOwnerQuestions({
    clock,
    directory,
    layout: keeper.layout,
    isOwnedHere: (place) => logs.has(place),
    answerHere,
    isStoreLost,
  });

  const standing = watchStanding({
    clock,
    isStoreLost,
    peers: () => directory.members().filter((one) => formatMember(one) !== member),
    ask: questions.askMember,
  });
  const standby = createFleetStandby({
    store,
    clock,
    self,
    ownsService: () => logs.services().length > 0,
    ask: questions.askMember,
  });

  const logs = createOwnedLogs({
    clock,
    layout: keeper.layout,
    whenFleetIsVacant: standby.check,
    openService: (place, service, onGivenUp) => {
      const owner = createServiceOwner({
        service,
        inbox: place,
        member,
        parameters: settings.scheduling,
        store,
        workers: parts.workers,
        clock,
        writeEvent,
        measures,
        requestHostList: () => news.suspect(),
        onClaimed: () => news.tell(owner),
        onOwnershipEnded: onGivenUp,
      });
      return owner;
    },
    openFleet: (place, onSuperseded) =>
      createFleetOwner({
        inbox: place,
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
        requestServiceReport: async (service, wishes, epoch, sequence) => {
          const question = { kind: 'service-report' as const, service, ...wishes, epoch, sequence };
          const answer = await questions.askOnce(subjectOf(service), question);
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
    ask: questions.askMember,
    isStoreLost,
    isUnseen: () => membership.isWithoutPlace(),
  });
  const membership = takeMembership({
    store,
    clock,
    member,
    writeEvent,
    isCandidate: candidacy.isCandidate,
    topics: () => topicsOf(keeper.layout()),
    onDealt: logs.follow,
    onSteppingOut: logs.giveUp,
  });
  const front = createFrontend({
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
    if (standing.isBetterElsewhere()) {
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
