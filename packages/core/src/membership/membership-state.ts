/** What a process knows of the others from their heartbeats. None of it lasts. */
import type { PoolLoad } from '@baobabdeck/types';
import { PersistentMap } from '../persistent.js';

/** What was heard of one peer. */
export interface PeerState {
  readonly incarnation: string;
  readonly lastHeardAt: Date;
  /** When the newest own heartbeat was sent that the peer has answered: it was at work after that. */
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
  /** When each peer was first expected: at its registration, as far as this process saw. */
  readonly expectedSince: PersistentMap<string, Date>;
  readonly heartbeatSequence: number;
  /** When the newest heartbeats were sent, by sequence. */
  readonly sentAt: PersistentMap<number, Date>;
  /** When this process last had proof that it is up to date: the time at which the proof was asked for. */
  readonly lastContactAt: Date | null;
  readonly nextHeartbeatAt: Date | null;
  readonly lapsed: boolean;
  readonly registrationPendingSince: Date | null;
}

/** Nothing heard yet. */
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
