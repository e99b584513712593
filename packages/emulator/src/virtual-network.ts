/** Links between processes in virtual time, and cuts between two groups of them. */
import type { Effect } from '@baobabdeck/core';
import type { PeerMessage } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';
import type { VirtualProcess } from './virtual-process.js';

/** Dependencies of the network. */
export interface VirtualNetworkParts {
  readonly schedule: Schedule;
  readonly latencyMilliseconds: number;
  readonly processes: ReadonlyMap<string, VirtualProcess>;
  /** Called with every message that leaves a process for another. */
  readonly onSend: (message: PeerMessage) => void;
}

/** The network. */
export interface VirtualNetwork {
  readonly send: (from: VirtualProcess, effect: Extract<Effect, { readonly kind: 'send' }>) => void;
  /** Links a process with all others. */
  readonly link: (process: VirtualProcess) => void;
  /** Cuts the links between the processes of `group` and all others; null heals them. */
  readonly partition: (group: ReadonlySet<string> | null) => void;
  readonly messageCount: () => number;
}

/** Creates a network without cuts. */
export function createVirtualNetwork(parts: VirtualNetworkParts): VirtualNetwork {
  const { schedule, latencyMilliseconds, processes, onSend } = parts;
  let cutGroup: ReadonlySet<string> | null = null;
  let messageCount = 0;

  const isLinked = (from: string, to: string): boolean =>
    cutGroup === null || cutGroup.has(from) === cutGroup.has(to);

  const link = (process: VirtualProcess): void => {
    processes.forEach((other) => {
      if (other === process) return;
      other.dispatch({ kind: 'peer-linked', processId: process.identity.processId });
      process.dispatch({ kind: 'peer-linked', processId: other.identity.processId });
    });
  };

  return {
    send: (from, { to, message }) => {
      const receiver = processes.get(to);
      const { processId, incarnation } = from.identity;
      if (receiver === undefined || !isLinked(processId, to)) return;
      messageCount += 1;
      onSend(message);
      schedule.after(latencyMilliseconds, () =>
        receiver.dispatch({ kind: 'peer-message-received', from: processId, incarnation, message }),
      );
    },
    link,
    partition: (group) => {
      cutGroup = group;
      if (group === null) processes.forEach(link);
    },
    messageCount: () => messageCount,
  };
}
