/** Tells the owners of services what the register and the list of hosts say of their workers. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { OwnedLogs } from './owned-logs.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { OwnerClient } from '../peers/owner-client.js';
import type { HostService, WorkerRegister } from '../ports/index.js';
import { followHostLists } from './host-lists.js';
import { FLEET_SUBJECT } from './layout.js';
import { followRegister } from './register.js';
import type { SteadyClock } from './steady-clock.js';

/** What the news needs. */
export interface WorkerNewsParts {
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly register: WorkerRegister;
  readonly hosts: HostService;
  readonly logs: OwnedLogs;
  readonly questions: OwnerClient;
}

/** News of workers for owners. */
export interface WorkerNews {
  /** Tells an owner what is known now. */
  readonly tell: (owner: ServiceOwner) => void;
  /** A worker does not answer: the list of hosts tells whether its life is over. */
  readonly suspect: () => void;
  readonly close: () => void;
}

/** Begins to tell. */
export function followWorkerNews(parts: WorkerNewsParts): WorkerNews {
  const { clock, logs } = parts;
  const toldRevisions = new WeakMap<ServiceOwner, number>();

  const register = followRegister(
    parts.register,
    clock,
    () => logs.services().length > 0,
    () => logs.services().forEach(tell),
  );
  function tell(owner: ServiceOwner): void {
    const workers = register.workersOf(owner.service);
    const revision = register.revision();
    if (workers === null || owner.state() === null || toldRevisions.get(owner) === revision) return;
    toldRevisions.set(owner, revision);
    owner.dispatch({ kind: 'workers-listed', workers });
  }

  const lists = followHostLists({
    hosts: parts.hosts,
    clock,
    writeEvent: parts.writeEvent,
    pools: () => logs.services().map((owner) => owner.service),
    askFleet: async (pool) => {
      // The list that comes back is at most so old as its sender says when this question is sent.
      const sentAt = clock.steadyNow();
      const answer = await parts.questions.requestOnce(FLEET_SUBJECT, { kind: 'hosts-of-pool', pool });
      if (answer?.kind !== 'hosts-of-pool') return null;
      return { hosts: answer.hosts, askedAt: sentAt - answer.ageMilliseconds };
    },
    onListed: (pool, { hosts, askedAt }) =>
      logs.serviceOf(pool)?.dispatch({ kind: 'hosts-listed', hosts, askedAt }),
  });

  return {
    tell,
    suspect: lists.suspect,
    close: () => {
      register.close();
      lists.close();
    },
  };
}
