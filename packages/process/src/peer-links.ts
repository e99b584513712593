/** Keeps a link to every other member and sends messages over these links. */
import { openLink, type Hello, type PeerLink } from '@baobabdeck/peer-protocol';
import type { PeerMessage, ProcessIdentity } from '@baobabdeck/types';

/** Outgoing links of one process. */
export interface PeerLinks {
  /** Opens links to new members and closes links to members that left. */
  readonly follow: (members: readonly ProcessIdentity[]) => void;
  readonly send: (processId: string, message: PeerMessage) => void;
  readonly close: () => void;
}

/** Creates the links. `onLinked` is called whenever a connection to a member is established. */
export function createPeerLinks(hello: Hello, onLinked: (processId: string) => void): PeerLinks {
  const links = new Map<string, PeerLink & { readonly incarnation: string }>();

  const drop = (processId: string): void => {
    links.get(processId)?.close();
    links.delete(processId);
  };

  const follow = (members: readonly ProcessIdentity[]): void => {
    const wanted = new Map(
      members
        .filter((member) => member.processId !== hello.processId)
        .map((member) => [member.processId, member]),
    );
    [...links.keys()].filter((processId) => !wanted.has(processId)).forEach(drop);
    wanted.forEach(({ processId, incarnation, peerAddress }) => {
      const known = links.get(processId);
      if (known?.incarnation === incarnation && known.address === peerAddress) return;
      drop(processId);
      const link = openLink(peerAddress, hello, () => onLinked(processId));
      links.set(processId, { ...link, incarnation });
    });
  };

  return {
    follow,
    send: (processId, message) => links.get(processId)?.send(message),
    close: () => [...links.keys()].forEach(drop),
  };
}
