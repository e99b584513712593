/** Soft state that a process derives from heartbeats; it is not stored. */
import type { PoolLoad } from '@baobabdeck/types';
import { PersistentMap } from '../persistent.js';

/** State of one peer, as of its newest heartbeat. */
export interface PeerState {
  readonly incarnation: string;
  readonly lastHeardAt: Date;
  /** When the newest own heartbeat that the peer has echoed was sent: the peer was running after that. */
  readonly answeredSince: Date | null;
  /** Sequence of its newest heartbeat. */
  readonly lastSequence: number;
  readonly fleetOffset: number;
  readonly configurationVersion: number;
  readonly drainingInFlight: PersistentMap<string, number>;
  readonly poolLoads: readonly PoolLoad[];
}

/** Liveness of this process and its peers. */
export interface MembershipState {
  readonly peers: PersistentMap<string, PeerState>;
  /** When this process first saw each member in the fold. */
  readonly expectedSince: PersistentMap<string, Date>;
  readonly heartbeatSequence: number;
  /** Sending times of the newest heartbeats, by sequence. */
  readonly sentAt: PersistentMap<number, Date>;
  /** When the newest proof that this process is up to date was requested. */
  readonly lastContactAt: Date | null;
  readonly nextHeartbeatAt: Date | null;
  readonly lapsed: boolean;
  readonly registrationPendingSince: Date | null;
}

/** Returns the state before any heartbeat. */
export function emptyMembershipState(): MembershipState {
  return {
    peers: PersistentMap(),
    expectedSince: PersistentMap(),
    heartbeatSequence: 0,
    sentAt: PersistentMap(),
    lastContactAt: null,
    nextHeartbeatAt: null,
    lapsed: true,
    registrationPendingSince: null,
  };
}
