/** Sends the service owners updates of their workers, from the register and the host list. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { OwnedLogs } from './owned-logs.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { HostService, WorkerRegister } from '../ports/index.js';
import { pollHostLists } from './host-list-poller.js';
import { FLEET_SUBJECT } from './layout.js';
import { followRegister } from './register.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Dependencies of the worker updates. */
export interface WorkerUpdatesParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly register: WorkerRegister;
  readonly hosts: HostService;
  readonly logs: OwnedLogs;
  readonly ownerClient: OwnerClient;
}

/** Updates of workers for service owners. */
export interface WorkerUpdates {
  /** Sends an owner the workers of its pool, unless it has this revision already. */
  readonly sendWorkers: (owner: ServiceOwner) => void;
  /** Reports that a worker does not answer: the host list shows whether its incarnation has ended. */
  readonly reportSuspectWorker: () => void;
  readonly close: () => void;
}

/** Starts to send updates. */
export function startWorkerUpdates(parts: WorkerUpdatesParts): WorkerUpdates {
  const { clock, background, logs } = parts;
  const sentRevisions = new WeakMap<ServiceOwner, number>();

  const register = followRegister({
    register: parts.register,
    clock,
    background,
    isNeeded: () => logs.services().length > 0,
    onRead: () => logs.services().forEach(sendWorkers),
  });
  function sendWorkers(owner: ServiceOwner): void {
    const workers = register.workersOf(owner.service);
    const revision = register.revision();
    if (workers === null || owner.state() === null || sentRevisions.get(owner) === revision) return;
    sentRevisions.set(owner, revision);
    owner.dispatch({ kind: 'workers-listed', workers });
  }

  const hostLists = pollHostLists({
    hosts: parts.hosts,
    clock,
    background,
    writeEvent: parts.writeEvent,
    pools: () => logs.services().map((owner) => owner.service),
    requestFromFleetOwner: async (pool) => {
      // The age was taken after the request was sent, so the list was not requested before `sentAt` minus the age.
      const sentAt = clock.steadyNow();
      const response = await parts.ownerClient.requestOnce(FLEET_SUBJECT, { kind: 'hosts-of-pool', pool });
      if (response?.kind !== 'hosts-of-pool') return null;
      return { hosts: response.hosts, askedAt: sentAt - response.ageMilliseconds };
    },
    onListed: (pool, { hosts, askedAt }) =>
      logs.serviceOf(pool)?.dispatch({ kind: 'hosts-listed', hosts, askedAt }),
  });

  return {
    sendWorkers,
    reportSuspectWorker: hostLists.reportSuspectWorker,
    close: () => {
      register.close();
      hostLists.close();
    },
  };
}
