/**
 * Decides when a start beyond the limits of its workspace may be made. Such starts and all others take turns: a run that
 * exceeds the cap holds up every other start of the workspace, and a steady load of others would hold it up for good.
 */
import type { Instant } from '../../model/instant.js';
import { fits, type Resources } from '../../model/resources.js';
import { capBesideOversized } from '../../model/workspace.js';

/** Time for which the other starts have their turn after a run that exceeds the cap has ended. */
const ORDINARY_TURN_MILLISECONDS = 2_000;

/** Longest time for which the other starts are held back before a start beyond the limits is made. */
const HOLD_MILLISECONDS = 2_000;

/** Time for which at most half of the cap is in use before a start that fits into the cap may go beyond the limits. */
const LOW_USE_MILLISECONDS = 1_000;

/** Whose turn it is in a workspace. */
export interface OversizedTurn {
  /** The service that makes the next start beyond the limits; null while other starts have their turn. */
  readonly service: string | null;
  /** The service that had such a turn last; null for none. */
  readonly lastService: string | null;
  /** When the turn of the other starts began; it begins anew while a run exceeds the cap. */
  readonly ordinarySince: Instant;
  /** Since when the other starts are held back; null while they are not. */
  readonly heldSince: Instant | null;
  /** Since when at most half of the cap has been in use; null while more is. */
  readonly lowUseSince: Instant | null;
  /** Whether the start has been allowed. */
  readonly isAllowed: boolean;
}

/** The first turn of a workspace. */
export const FIRST_TURN: OversizedTurn = {
  service: null,
  lastService: null,
  ordinarySince: -Infinity,
  heldSince: null,
  lowUseSince: null,
  isAllowed: false,
};

/** What the services have of a workspace. */
export interface WorkspaceSituation {
  readonly cap: Resources;
  /** What all services have running together. */
  readonly running: Resources;
  /** Services with a waiting start that exceeds the cap. */
  readonly oversizedServices: readonly string[];
  /** Services with a waiting start that fits into the cap, but not into what is left of their limits. */
  readonly largeServices: readonly string[];
  /** Whether any service has a waiting start that fits into the cap. */
  readonly hasOrdinaryStart: boolean;
}

/** Returns whether no more is in use than may be beside a start beyond the limits. */
export function hasRoomForOversized({ cap, running }: WorkspaceSituation): boolean {
  return fits(running, capBesideOversized(cap));
}

function hasEnded(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): boolean {
  const candidates = [...situation.oversizedServices, ...situation.largeServices];
  const hasStarted = turn.isAllowed && !hasRoomForOversized(situation);
  const isWanted = turn.service !== null && candidates.includes(turn.service);
  const isExpired = turn.heldSince !== null && now - turn.heldSince >= HOLD_MILLISECONDS;
  const delaysOthers = situation.hasOrdinaryStart || situation.oversizedServices.length > 1;
  return hasStarted || !isWanted || (isExpired && delaysOthers);
}

function continueTurn(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): OversizedTurn {
  const holdsOthers = !situation.hasOrdinaryStart || hasRoomForOversized(situation);
  return { ...turn, heldSince: holdsOthers ? (turn.heldSince ?? now) : null };
}

/** Returns the service whose turn follows that of `lastService`. */
function nextService(services: readonly string[], lastService: string | null): string | null {
  const sorted = [...services].sort();
  const later = sorted.find((service) => lastService !== null && service > lastService);
  return later ?? sorted[0] ?? null;
}

/** Returns the services that may have a turn now. */
function candidatesOf(
  { lowUseSince }: OversizedTurn,
  { oversizedServices, largeServices }: WorkspaceSituation,
  now: Instant,
): readonly string[] {
  const isUseLow = lowUseSince !== null && now - lowUseSince >= LOW_USE_MILLISECONDS;
  return isUseLow ? [...oversizedServices, ...largeServices] : oversizedServices;
}

function beginTurn(turn: OversizedTurn, situation: WorkspaceSituation, now: Instant): OversizedTurn {
  const { cap, running, hasOrdinaryStart } = situation;
  if (!fits(running, cap)) return { ...turn, ordinarySince: now };
  const isOrdinaryTurn = hasOrdinaryStart && now - turn.ordinarySince < ORDINARY_TURN_MILLISECONDS;
  if (isOrdinaryTurn) return turn;
  const service = nextService(candidatesOf(turn, situation, now), turn.lastService);
  return service === null ? turn : continueTurn({ ...turn, service }, situation, now);
}

/** Returns whose turn it is now. */
export function nextTurn(former: OversizedTurn, situation: WorkspaceSituation, now: Instant): OversizedTurn {
  const lowUseSince = hasRoomForOversized(situation) ? (former.lowUseSince ?? now) : null;
  const turn = { ...former, lowUseSince };
  if (turn.service === null) return beginTurn(turn, situation, now);
  if (!hasEnded(turn, situation, now)) return continueTurn(turn, situation, now);
  return { ...FIRST_TURN, lastService: turn.service, ordinarySince: now, lowUseSince };
}
