/** Orders to workers that go through relays where a worker has one, and directly otherwise. */
import type { GroupMember } from '../node/group-member.js';
import type { RenewLeaseOrder, RenewLeaseOutcome, WorkerOrders } from '../ports/index.js';
import type { RelayClient } from './relay-client.js';

/** Dependencies of the orders. */
export interface RelayedWorkersParts {
  /** The orders that this process sends itself. */
  readonly direct: WorkerOrders;
  readonly client: Pick<RelayClient, 'send'>;
  /** The relay of a worker; null to call it directly. */
  readonly relayOf: (workerId: string) => GroupMember | null;
  /** Called when a relay did not reach a worker: it should be called directly for a while. */
  readonly onUnreached: (workerId: string) => void;
  /** Called before a direct order to an address. */
  readonly onDirect: (address: string) => void;
}

/** Wraps the direct orders of a process. The outcomes are those of the port. */
export function createRelayedWorkers(parts: RelayedWorkersParts): WorkerOrders {
  const { direct, client, relayOf, onUnreached, onDirect } = parts;

  const renewDirectly = (order: RenewLeaseOrder): Promise<RenewLeaseOutcome> => {
    onDirect(order.address);
    return direct.renewLease(order);
  };

  return {
    ...direct,
    renewLease: async (order) => {
      const relay = relayOf(order.workerId);
      if (relay === null) return renewDirectly(order);
      const settled = await client.send(relay, { kind: 'renew-lease', order });
      if (settled.kind === 'not-sent') return renewDirectly(order);
      if (settled.kind === 'renew-lease') {
        if (settled.outcome.kind !== 'unanswered') return settled.outcome;
        onUnreached(order.workerId);
      }
      // A renewal may be repeated, and time has passed: the worker should answer at once.
      return renewDirectly({ ...order, waitMilliseconds: 0 });
    },
    startRun: async (order) => {
      const relay = relayOf(order.workerId);
      if (relay !== null) {
        const settled = await client.send(relay, { kind: 'start-run', order });
        if (settled.kind === 'start-run') {
          const { outcome } = settled.outcome;
          if (outcome === 'unanswered' || outcome === 'unhealthy') onUnreached(order.workerId);
          return settled.outcome;
        }
        if (settled.kind !== 'not-sent') return { outcome: 'unanswered', clockMilliseconds: null };
      }
      onDirect(order.address);
      return direct.startRun(order);
    },
    stopRun: async (order) => {
      const relay = relayOf(order.workerId);
      if (relay !== null) {
        const settled = await client.send(relay, { kind: 'stop-run', order });
        if (settled.kind === 'stop-run') {
          if (settled.outcome === 'unanswered') onUnreached(order.workerId);
          return settled.outcome;
        }
        if (settled.kind !== 'not-sent') return 'unanswered';
      }
      onDirect(order.address);
      return direct.stopRun(order);
    },
  };
}
