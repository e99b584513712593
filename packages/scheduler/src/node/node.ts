/** Wires up a scheduler process: its share of the services, its peers and its callers. */
import type { ProcessMeasures, WriteEvent } from '@baobabdeck/observability';
import { createFleetStandby } from '../fleet/fleet-standby.js';
import { createFleetOwner } from '../fleet/fleet-owner.js';
import { authenticateCallers } from '../frontend/caller-authentication.js';
import { findQueue } from '../frontend/find-queue.js';
import { createFrontend } from '../frontend/frontend.js';
import { createQueueHomes } from '../frontend/queue-homes.js';
import { createSubmissionWriter } from '../frontend/submission-writer.js';
import { monitorEventLoop } from '../measure/event-loop-monitor.js';
import { createServiceOwner, type ServiceOwner } from '../owner/service-owner.js';
import { createOwnerClient } from '../peers/owner-client.js';
import { createOwnerDirectory } from '../peers/owner-directory.js';
import { parsePeerRequest } from '../peers/messages.js';
import { createPeerRequestHandler } from '../peers/peer-request-handler.js';
import type {
  CallerService,
  HostService,
  LogPartition,
  OperatorFeed,
  PeerNetwork,
  QueueConfiguration,
  Store,
  WorkerOrders,
  WorkerRegister,
} from '../ports/index.js';
import { startRelays } from '../relays/relays.js';
import { watchCandidacy } from './candidacy.js';
import { followConfiguration } from './configuration.js';
import { serviceOfSubject, subjectOfService, inboxTopicsOf } from './layout.js';
import { explainSubject, selectStatus, type NodeStatus } from './explain.js';
import { createLayoutManager } from './layout-manager.js';
import { formatMember, type GroupMember } from './group-member.js';
import { startMembership } from './membership.js';
import { createOtherServices } from './other-services.js';
import { createOwnedLogs } from './owned-logs.js';
import type { SchedulerSettings } from './settings.js';
import { watchStoreReadiness } from './store-readiness.js';
import { watchStore } from './watched-store.js';
import type { SteadyClock } from './steady-clock.js';
import {
  createBackgroundWork,
  createErrorReporter,
  guardHosts,
  guardPeers,
  guardStore,
  guardWorkers,
} from '../unexpected-errors/index.js';
import { termsOf } from './workspace-terms.js';
import { startWorkerUpdates, type WorkerUpdates } from './worker-updates.js';

/** Time for which a stopping process continues to serve at least, so that the load balancer notices and sends no new callers. */
const DRAIN_MILLISECONDS = 2_500;

/** Dependencies of a process. */
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

/** A running scheduler process. */
export interface SchedulerNode {
  readonly callers: CallerService;
  readonly status: () => NodeStatus;
  /** Whether this process may be assigned services. */
  readonly isCandidate: () => boolean;
  /** Describes a job, worker, host or pool; null if this process does not know it. */
  readonly explain: (kind: string, name: string) => unknown;
  /**
   * Gives up what this process owns and leaves its group; resolves once callers have had time to notice that it is not ready.
   * Requests are still answered.
   */
  readonly leave: () => Promise<void>;
  /** Ends everything else that this process does. */
  readonly close: () => void;
}

/** Passes the workspaces of the configuration to a service owner. */
function sendWorkspaces(owner: ServiceOwner, configuration: QueueConfiguration | null): void {
  if (configuration === null) return;
  const { version, workspaces } = configuration;
  owner.dispatch({ kind: 'workspaces-configured', version, workspaces: workspaces.map(termsOf) });
}

/** Starts a process. Rejects if its peer port is in use. */
export async function startNode(parts: NodeParts): Promise<SchedulerNode> {
  const { settings, clock, writeEvent, measures, feed } = parts;
  const reportError = createErrorReporter(writeEvent);
  const background = createBackgroundWork(clock, reportError);
  const { store, isLost: isStoreLost } = watchStore(guardStore(parts.store, reportError), clock);
  const hosts = guardHosts(parts.hosts, reportError);
  const peers = guardPeers(parts.peers, reportError);
  const { nodeName } = settings;
  let stopping = false;
  const eventLoopMonitor = monitorEventLoop({ clock, background, writeEvent, measures });

  const layoutManager = createLayoutManager(store, clock, background);
  const configurationFollower = followConfiguration({
    feed,
    clock,
    background,
    writeEvent,
    onConfiguration: (configuration) => {
      layoutManager.ensureInboxes(configuration);
      logs.services().forEach((owner) => sendWorkspaces(owner, configuration));
    },
    onWave: (wave) => writeEvent('waveAsked', { ...wave }),
  });

  const handlePeerRequest = createPeerRequestHandler({
    clock,
    ownerOf: (service) => logs.serviceOf(service),
    fleet: () => logs.fleet(),
    remoteFleetOwner: () => standby.currentOwner(),
    handOverFleet: () => logs.handOverFleet(),
    isStoreLost,
    recordMember: (sender) => candidacy.recordMember(sender),
    takeRelayOffer: (offer) => relays.takeOffer(offer),
  });
  const peerAddress = await peers.listen(async (content) => {
    const relayResponse = relays.handle(content);
    if (relayResponse !== null) return relayResponse;
    const request = parsePeerRequest(content);
    return request === null ? { kind: 'not-owner' } : handlePeerRequest(request);
  });
  const self: GroupMember = {
    nodeName,
    peerAddress,
    incarnation: parts.incarnation,
    milliCores: settings.milliCores,
  };
  const member = formatMember(self);
  const directory = createOwnerDirectory(store, peers, clock);
  const relays = startRelays({
    mode: settings.relays ?? 'on',
    clock,
    background,
    writeEvent,
    measures,
    self,
    workers: guardWorkers(parts.workers, reportError),
    request: directory.request,
    owners: () =>
      [...layoutManager.layout()].flatMap(([subject, inbox]) =>
        serviceOfSubject(subject) === null ? [] : (directory.lastKnownOwnerOf(inbox) ?? []),
      ),
    ownsService: () => logs.services().length > 0,
    isStopping: () => stopping,
  });
  const ownerClient = createOwnerClient({
    clock,
    directory,
    findInbox: layoutManager.findInbox,
    isOwnedHere: (inbox) => logs.has(inbox),
    handleLocally: handlePeerRequest,
    isStoreLost,
  });

  const inboxOf = (service: string): LogPartition | null =>
    layoutManager.findInbox(subjectOfService(service));
  const submissionWriter = createSubmissionWriter(store, background);
  const otherServices = createOtherServices({
    inboxOf,
    append: submissionWriter.append,
    requestOnce: ownerClient.requestOnce,
  });

  const storeReadiness = watchStoreReadiness({
    clock,
    background,
    isStoreLost,
    peers: () => directory.members().filter((peer) => formatMember(peer) !== member),
    request: ownerClient.requestFrom,
  });
  const standby = createFleetStandby({
    store,
    clock,
    background,
    self,
    ownsService: () => logs.services().length > 0,
    requestFrom: ownerClient.requestFrom,
  });

  const logs = createOwnedLogs({
    clock,
    background,
    layout: layoutManager.layout,
    awaitVacantFleet: standby.check,
    openServiceOwner: (inbox, service, onGivenUp) => {
      const owner = createServiceOwner({
        service,
        inbox,
        member,
        parameters: settings.scheduling,
        store,
        workers: relays.workers,
        others: otherServices,
        clock,
        writeEvent,
        measures,
        requestHostList: () => workerUpdates.reportSuspectWorker(),
        onClaimed: () => {
          sendWorkspaces(owner, configurationFollower.current());
          workerUpdates.sendWorkers(owner);
        },
        onOwnershipEnded: onGivenUp,
      });
      return owner;
    },
    openFleetOwner: (inbox, onSuperseded) =>
      createFleetOwner({
        inbox,
        member,
        nodeName,
        parameters: settings.fleet,
        store,
        hosts,
        feed,
        clock,
        writeEvent,
        measures,
        configuration: configurationFollower.current,
        waves: configurationFollower.waves,
        requestServiceReport: async (service, requests, grants, epoch, sequence) => {
          const kind = 'service-report' as const;
          const request = { kind, service, ...requests, grants, epoch, sequence };
          const response = await ownerClient.requestOnce(subjectOfService(service), request);
          return response?.kind === 'service-report' ? response.report : null;
        },
        onSuperseded,
      }),
  });
  const workerUpdates: WorkerUpdates = startWorkerUpdates({
    clock,
    background,
    writeEvent,
    register: parts.register,
    hosts,
    logs,
    ownerClient,
  });
  const candidacy = watchCandidacy({
    clock,
    background,
    writeEvent,
    self,
    inboxCount: () => layoutManager.layout().size,
    refreshMembers: directory.refreshIfOlder,
    members: directory.members,
    request: ownerClient.requestFrom,
    isStoreLost,
    isUnlisted: () => membership.isUnassigned(),
  });
  const membership = startMembership({
    store,
    clock,
    background,
    member,
    writeEvent,
    isCandidate: candidacy.isCandidate,
    topics: () => inboxTopicsOf(layoutManager.layout()),
    onAssigned: logs.applyAssignment,
    onLeavingGroup: logs.handOver,
  });
  const frontend = createFrontend({
    clock,
    background,
    writeEvent,
    writer: submissionWriter,
    homes: createQueueHomes({ store, clock, writeEvent, isStoreLost }),
    storeLimits: store.limits,
    isStoreLost,
    inboxOf,
    ownerClient,
  });

  const readiness = (): ReturnType<CallerService['readiness']> => {
    if (stopping) return { isReady: false, reason: 'stopping' };
    if (configurationFollower.current() === null) return { isReady: false, reason: 'no configuration yet' };
    if (storeReadiness.isUnready()) {
      return { isReady: false, reason: 'the store does not answer this process' };
    }
    return { isReady: true, reason: 'ready' };
  };

  return {
    callers: {
      ...frontend,
      findQueue: (hostName, path) => findQueue(configurationFollower.current(), hostName, path),
      authenticate: authenticateCallers({
        clock,
        background,
        writeEvent,
        revocation: settings.revocation,
        configuration: configurationFollower,
      }),
      readiness,
      isStopping: () => stopping,
      bodyLimitBytes: () => configurationFollower.current()?.limits.bodyBytes ?? null,
    },
    status: () => selectStatus(logs, relays.status(), clock.steadyNow()),
    isCandidate: candidacy.isCandidate,
    explain: (kind, name) => explainSubject(logs, kind, name),
    leave: async () => {
      stopping = true;
      candidacy.close();
      const drainedAt = clock.steadyNow() + DRAIN_MILLISECONDS;
      await logs.prepareStop();
      await membership.leave();
      await logs.stop(drainedAt);
      await clock.sleep(Math.max(0, drainedAt - clock.steadyNow()));
    },
    close: () => {
      eventLoopMonitor.close();
      storeReadiness.close();
      layoutManager.close();
      configurationFollower.close();
      workerUpdates.close();
      relays.close();
      peers.close();
    },
  };
}
