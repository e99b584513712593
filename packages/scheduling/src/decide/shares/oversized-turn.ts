/**
 * Decides when a start that exceeds the cap of its workspace may be made. Such starts and all others take turns: a run
 * that exceeds the cap holds up every other start of the workspace, and a steady load of others would hold it up for good.
 */
import type { Instant } from '../../model/instant.js';
import { fits, multiplyResources, type Resources } from '../../model/resources.js';

/** Time for which the other starts have their turn after a run that exceeds the cap has ended. */
const ORDINARY_TURN_MILLISECONDS = 2_000;

/** Longest time for which the other starts are held back before a start that exceeds the cap is made. */
const HOLD_MILLISECONDS = 2_000;

/** Share of the cap that may be in use when a start that exceeds it is made. */
const SHARE_BESIDE_OVERSIZED = 0.5;

/** Whose turn it is in a workspace. */
export interface OversizedTurn {
  /** The service that makes the next start that exceeds the cap; null while other starts have their turn. */
  readonly service: string | null;
  /** The service that had such a turn last; null for none. */
  readonly lastService: string | null;
  /** When the turn of the other starts began; it begins anew while a run exceeds the cap. */
  readonly ordinarySince: Instant;
  /** Since when the other starts are held back; null while they are not. */
  readonly heldSince: Instant | null;
  /** Whether the start has been allowed. */
  readonly isAllowed: boolean;
}

/** The first turn of a workspace. */
export const FIRST_TURN: OversizedTurn = {
  service: null,
  lastService: null,
  ordinarySince: -Infinity,
  heldSince: null,
  isAllowed: false,
};

/** What the services have of a workspace. */
export interface WorkspaceSituation {
  readonly cap: Resources;
  /** What all services have running together. */
  readonly running: Resources;
  /** Services with a waiting start that exceeds the cap, in the same order each time. */
  readonly oversizedServices: readonly string[];
  /** Whether any service has a waiting start that fits into the cap. */
  readonly hasOrdinaryStart: boolean;
}

/** Returns what may run beside a start that exceeds the cap. */
export function capBesideOversized(cap: Resources): Resources {
  return multiplyResources(cap, SHARE_BESIDE_OVERSIZED);
}

/** Returns whether no more may be in use for a start that exceeds the cap. */
export function hasRoomForOversized({ cap, running }: WorkspaceSituation): boolean {
  return fits(running, capBesideOversized(cap));
}

function hasEnded(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): boolean {
  const { cap, running, oversizedServices, hasOrdinaryStart } = situation;
  const hasStarted = turn.isAllowed && !fits(running, cap);
  const isWanted = turn.service !== null && oversizedServices.includes(turn.service);
  const isExpired = turn.heldSince !== null && now - turn.heldSince >= HOLD_MILLISECONDS;
  const delaysOthers = hasOrdinaryStart || oversizedServices.length > 1;
  return hasStarted || !isWanted || (isExpired && delaysOthers);
}

function continueTurn(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): OversizedTurn {
  const holdsOthers = !situation.hasOrdinaryStart || hasRoomForOversized(situation);
  return { ...turn, heldSince: holdsOthers ? (turn.heldSince ?? now) : null };
}

/** Returns the service whose turn follows that of `lastService`. */
function nextService(services: readonly string[], lastService: string | null): string | null {
  const later = services.find((service) => lastService !== null && service > lastService);
  return later ?? services[0] ?? null;
}

/** Returns whose turn it is now. */
export function nextTurn(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): OversizedTurn {
  if (turn.service !== null) {
    if (!hasEnded(turn, situation, now)) return continueTurn(turn, situation, now);
    return { ...FIRST_TURN, lastService: turn.service, ordinarySince: now };
  }
  const { cap, running, oversizedServices, hasOrdinaryStart } = situation;
  if (!fits(running, cap)) return { ...turn, ordinarySince: now };
  const isOrdinaryTurn = hasOrdinaryStart && now - turn.ordinarySince < ORDINARY_TURN_MILLISECONDS;
  const service = isOrdinaryTurn ? null : nextService(oversizedServices, turn.lastService);
  return service === null ? turn : continueTurn({ ...turn, service }, situation, now);
}
