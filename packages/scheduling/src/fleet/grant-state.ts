/** State of the grants of the fleet owner. */
import type { Map as PersistentMap } from 'immutable';
import type { WorkspaceConfiguration } from '../decide/shares/caps-in-force.js';
import type { OversizedTurn } from '../decide/shares/oversized-turn.js';
import type { Instant } from '../model/instant.js';
import type { Resources } from '../model/resources.js';
import type { ServiceGrants, WorkspaceUse } from '../model/workspace.js';

/** What the fleet owner knows of one service's grants. */
export interface ServiceGrantState {
  /** Fencing epoch of the service owner that reported last; 0 before the first report. */
  readonly ownerEpoch: number;
  /** Number of the newest message to the service. */
  readonly sentSequence: number;
  /** Grants in the newest message; null if it had none. */
  readonly sent: ServiceGrants | null;
  /** Highest limit by workspace that may be in force at the service. */
  readonly limits: ReadonlyMap<string, Resources>;
  /** Workspaces of which the service may be allowed a start that exceeds the cap. */
  readonly oversizedAllowed: ReadonlySet<string>;
  /** The use of each workspace in the newest report. */
  readonly uses: ReadonlyMap<string, WorkspaceUse>;
  readonly reportedAt: Instant | null;
  /** The `cappedVersion` that the service owner has acknowledged. */
  readonly acknowledgedVersion: number;
  /** The first message that was sent when no earlier fleet owner could send grants any more; null before that. */
  readonly confirmingSequence: number | null;
  /** Whether the reports are known to come from the owner of the service, with all grants of earlier fleet owners. */
  readonly isKnown: boolean;
}

/** Grants of the fleet owner. */
export interface FleetGrants {
  /** Epoch of this fleet owner. */
  readonly epoch: number;
  /** From when on no earlier fleet owner can send grants; -Infinity if there was none. */
  readonly aloneSince: Instant;
  /** Versions of the configuration that may be in force, newest first. */
  readonly versions: readonly WorkspaceConfiguration[];
  /** Version that has capped each capped workspace. */
  readonly cappedSince: ReadonlyMap<string, number>;
  readonly services: PersistentMap<string, ServiceGrantState>;
  /** Turns of the workspaces with starts that exceed their caps. */
  readonly oversizedTurns: ReadonlyMap<string, OversizedTurn>;
  /** When each capped workspace last had runs or waiting tasks. */
  readonly neededAt: ReadonlyMap<string, Instant>;
}

/** State of a service that has not reported. */
export const UNKNOWN_SERVICE: ServiceGrantState = {
  ownerEpoch: 0,
  sentSequence: 0,
  sent: null,
  limits: new Map(),
  oversizedAllowed: new Set(),
  uses: new Map(),
  reportedAt: null,
  acknowledgedVersion: 0,
  confirmingSequence: null,
  isKnown: false,
};

/** Returns the state of a service. */
export function grantStateOf({ services }: FleetGrants, service: string): ServiceGrantState {
  return services.get(service) ?? UNKNOWN_SERVICE;
}

/** Returns the grants with another state of a service. */
export function withGrantState(grants: FleetGrants, service: string, known: ServiceGrantState): FleetGrants {
  return { ...grants, services: grants.services.set(service, known) };
}
