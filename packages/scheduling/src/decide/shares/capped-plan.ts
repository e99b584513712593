/** Plans what each service may start of a capped workspace: its part of the cap, or one start beyond the limits. */
import type { Instant } from '../../model/instant.js';
import {
  addResources,
  fits,
  NO_RESOURCES,
  subtractResources,
  type Resources,
} from '../../model/resources.js';
import { capBesideOversized } from '../../model/workspace.js';
import {
  FIRST_TURN,
  hasRoomForOversized,
  nextTurn,
  type OversizedTurn,
  type WorkspaceSituation,
} from './oversized-turn.js';
import { divideCap, type ServiceHolding } from './workspace-grants.js';

/** What one service holds of a workspace, with its starts beyond the limits. */
export interface WorkspaceHolding extends ServiceHolding {
  readonly hasOversizedStart: boolean;
  readonly hasLargeStart: boolean;
  /** Whether the service may be allowed a start beyond its limit by grants that are in force or under way. */
  readonly mayStartOversized: boolean;
  /** Whether the service has reported lately. */
  readonly isResponding: boolean;
}

/** Next limits of one service. */
export interface PlannedLimits {
  readonly service: string;
  readonly limit: Resources;
  /** The most that may be running before the last run of a start beyond the limit; null if none is allowed. */
  readonly oversizedLimit: Resources | null;
}

/** Next limits of all services in a workspace, and whose turn it is. */
export interface CappedPlan {
  readonly turn: OversizedTurn;
  readonly limits: readonly PlannedLimits[];
}

function sumRunning(holdings: readonly WorkspaceHolding[]): Resources {
  return holdings.reduce((sum, { running }) => addResources(sum, running), NO_RESOURCES);
}

function servicesOf(holdings: readonly WorkspaceHolding[]): readonly string[] {
  return holdings.map(({ service }) => service);
}

function situationOf(cap: Resources, holdings: readonly WorkspaceHolding[]): WorkspaceSituation {
  return {
    cap,
    running: sumRunning(holdings),
    oversizedServices: servicesOf(holdings.filter(({ hasOversizedStart }) => hasOversizedStart)),
    largeServices: servicesOf(holdings.filter(({ hasLargeStart }) => hasLargeStart)),
    hasOrdinaryStart: holdings.some(({ waiting }) => !fits(waiting, NO_RESOURCES)),
  };
}

/** Returns whether no service can make a start any more except by new grants. */
function areStartsHeld(holdings: readonly WorkspaceHolding[]): boolean {
  return holdings.every(({ limit }) => fits(limit, NO_RESOURCES));
}

/** Returns whether the start beyond the limits may be made now. */
function canAllowOversized(
  situation: WorkspaceSituation,
  holdings: readonly WorkspaceHolding[],
  turn: OversizedTurn,
): boolean {
  const others = holdings.filter(({ service }) => service !== turn.service);
  return (
    turn.heldSince !== null &&
    hasRoomForOversized(situation) &&
    areStartsHeld(holdings) &&
    others.every(({ mayStartOversized }) => !mayStartOversized)
  );
}

/** Holds back all starts but the one beyond the limits, once it may be made. */
function planHeld(
  { cap, running }: WorkspaceSituation,
  holdings: readonly WorkspaceHolding[],
  turn: OversizedTurn,
  isAllowed: boolean,
): CappedPlan {
  const limits = holdings.map((holding) => {
    const isNext = isAllowed && holding.service === turn.service;
    const runningElsewhere = subtractResources(running, holding.running);
    return {
      service: holding.service,
      limit: NO_RESOURCES,
      oversizedLimit: isNext ? subtractResources(cap, runningElsewhere) : null,
    };
  });
  return { turn: { ...turn, isAllowed: turn.isAllowed || isAllowed }, limits };
}

/** Returns whether all starts could be held back soon: limits of services that do not respond stay in force. */
function canHoldStarts(holdings: readonly WorkspaceHolding[]): boolean {
  return holdings.every(({ limit, isResponding }) => isResponding || fits(limit, NO_RESOURCES));
}

/** Returns whose turn it is. Without knowledge of all grants in force, a turn would only hold the others back. */
function turnOf(
  formerTurn: OversizedTurn,
  situation: WorkspaceSituation,
  holdings: readonly WorkspaceHolding[],
  areAllKnown: boolean,
  now: Instant,
): OversizedTurn {
  if (areAllKnown && canHoldStarts(holdings)) return nextTurn(formerTurn, situation, now);
  return { ...FIRST_TURN, lastService: formerTurn.service ?? formerTurn.lastService, ordinarySince: now };
}

/**
 * Plans the next limits of a workspace.
 * @param cap the cap of the workspace, Infinity for no limit
 * @param holdings what every service holds that may have runs of the workspace, in the same order each time
 * @param formerTurn whose turn it was
 * @param areAllKnown whether the grants in force at all services are known, without which nothing is raised
 * @param now the time of the fleet owner
 * @param firstIndex number of the service that comes first if the cap does not suffice
 */
export function planCappedWorkspace(
  cap: Resources,
  holdings: readonly WorkspaceHolding[],
  formerTurn: OversizedTurn,
  areAllKnown: boolean,
  now: Instant,
  firstIndex: number,
): CappedPlan {
  const situation = situationOf(cap, holdings);
  const turn = turnOf(formerTurn, situation, holdings, areAllKnown, now);
  // While more runs than the cap allows, no start may add to it, not even one that needs other resources.
  if (turn.heldSince !== null || !fits(situation.running, cap)) {
    return planHeld(situation, holdings, turn, canAllowOversized(situation, holdings, turn));
  }
  const shared = turn.service === null ? cap : capBesideOversized(cap);
  const mayRaise = areAllKnown && holdings.every(({ mayStartOversized }) => !mayStartOversized);
  const limits = [...divideCap(shared, holdings, mayRaise, firstIndex)].map(([service, limit]) => ({
    service,
    limit,
    oversizedLimit: null,
  }));
  return { turn, limits };
}
