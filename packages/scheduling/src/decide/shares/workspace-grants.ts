/**
 * Divides the cap of a workspace among the services. Limits are lowered at once; a limit is raised only by what no
 * service holds, so the sum of what the services may have running never exceeds the cap.
 */
import type { Resources } from '../../model/resources.js';

/** What one service holds of a workspace. */
export interface ServiceHolding {
  readonly service: string;
  /** The highest limit that may be in force at the service, or may still come into force by a delayed message. */
  readonly limit: Resources;
  /** A limit that raises nothing at the service if it is sent; Infinity if the service may be unlimited. */
  readonly lowestLimit: Resources;
  readonly running: Resources;
  readonly waiting: Resources;
  /** The most that has to start at once. */
  readonly largestStart: Resources;
}

/** Amounts of one resource that a service holds and needs. */
interface Holding {
  readonly limit: number;
  /** The highest limit that surely raises nothing at the service. */
  readonly lowestLimit: number;
  readonly running: number;
  readonly need: number;
  readonly start: number;
}

type Resource = keyof Resources;

const RESOURCES: readonly Resource[] = ['milliCores', 'memoryMegabytes', 'accelerators'];

function holdingOf(holding: ServiceHolding, resource: Resource): Holding {
  const { limit, lowestLimit, running, waiting, largestStart } = holding;
  const isUnlimited = lowestLimit[resource] === Infinity;
  return {
    limit: limit[resource],
    lowestLimit: isUnlimited ? running[resource] : lowestLimit[resource],
    running: running[resource],
    need: running[resource] + waiting[resource],
    start: largestStart[resource],
  };
}

function sum(amounts: readonly number[]): number {
  return amounts.reduce((total, amount) => total + amount, 0);
}

/** Adds an equal part of `amount` to each part. */
function addEvenly(parts: readonly number[], amount: number): readonly number[] {
  return parts.map((part) => part + Math.floor(amount / parts.length));
}

/** How an amount is divided: by share, in whole starts. */
interface Division {
  /** Shares of the services; their sum is 1. */
  readonly shares: readonly number[];
  /** What a service needs for one start. */
  readonly starts: readonly number[];
  /** Returns whether a service with a part wants another start. */
  readonly wantsMore: (index: number, part: number) => boolean;
}

/**
 * Divides an amount in whole starts: parts that are smaller than a task would let nothing start. What is left goes to one
 * service after the other, from the first on.
 * @returns the parts, and what is too little for another start
 */
function divideInStarts(
  amount: number,
  { shares, starts, wantsMore }: Division,
): { readonly parts: readonly number[]; readonly left: number } {
  const parts = shares.map((share, index) => {
    const start = starts[index] ?? 1;
    return Math.floor((amount * share) / start) * start;
  });
  let left = amount - sum(parts);
  for (const [index, start] of starts.entries()) {
    const part = parts[index] ?? 0;
    if (wantsMore(index, part) && start <= left) {
      parts[index] = part + start;
      left -= start;
    }
  }
  return { parts, left };
}

/** Returns what each service needs for one start, at most `largest`. */
function startsUpTo(largest: number, holdings: readonly Holding[]): readonly number[] {
  return holdings.map(({ start }) => Math.min(Math.max(1, start), largest));
}

/** Divides a cap that does not suffice in proportion to need. */
function divideScarce(cap: number, holdings: readonly Holding[], totalNeed: number): readonly number[] {
  const { parts, left } = divideInStarts(cap, {
    shares: holdings.map(({ need }) => need / totalNeed),
    starts: startsUpTo(cap, holdings),
    wantsMore: (index, part) => part < (holdings[index]?.need ?? 0),
  });
  return addEvenly(parts, left);
}

/**
 * Divides what the runs leave of a cap that does not suffice among the services that have less than their part. Runs may
 * last, so parts of the whole cap could add up to what is left and let nothing start.
 */
function divideRest(cap: number, holdings: readonly Holding[], totalNeed: number): readonly number[] {
  const rest = cap - sum(holdings.map(({ running }) => running));
  const deficits = holdings.map(({ need, running }) => Math.max(0, (cap * need) / totalNeed - running));
  const totalDeficit = sum(deficits);
  if (rest <= 0 || totalDeficit === 0) return holdings.map(() => 0);
  return divideInStarts(rest, {
    shares: deficits.map((deficit) => deficit / totalDeficit),
    starts: startsUpTo(rest, holdings),
    wantsMore: (index) => (deficits[index] ?? 0) > 0,
  }).parts;
}

/** Parts of a resource that a service should have. */
interface Target {
  /** Its part by need, to which its limit is lowered if it has more. */
  readonly part: number;
  /** What it should get beside its runs, if anything. */
  readonly raised: number | null;
}

/** Returns the part that each service should have: its need, and an equal part of what nobody needs. */
function targetsOf(cap: number, holdings: readonly Holding[]): readonly Target[] {
  const needs = holdings.map(({ need }) => need);
  const totalNeed = sum(needs);
  if (totalNeed <= cap) {
    return addEvenly(needs, cap - totalNeed).map((part) => ({ part, raised: part }));
  }
  const raises = divideRest(cap, holdings, totalNeed);
  return divideScarce(cap, holdings, totalNeed).map((part, index) => {
    const raise = raises[index] ?? 0;
    return { part, raised: raise > 0 ? (holdings[index]?.running ?? 0) + raise : null };
  });
}

function limitsOf(cap: number, holdings: readonly Holding[], mayRaise: boolean): readonly number[] {
  if (cap === Infinity) return holdings.map(() => Infinity);
  const targets = targetsOf(cap, holdings);
  const held = holdings.map(({ limit, running }) => Math.max(limit, running));
  let free = mayRaise ? cap - sum(held) : 0;
  return holdings.map(({ lowestLimit }, index) => {
    const { part, raised } = targets[index] ?? { part: 0, raised: null };
    const holds = held[index] ?? 0;
    if (raised === null || raised < holds) return Math.min(lowestLimit, Math.max(part, raised ?? 0));
    if (raised === holds || free <= 0) return Math.min(lowestLimit, raised);
    const raise = Math.min(raised - holds, free);
    free -= raise;
    return holds + raise;
  });
}

/** Returns the services with the turn's service first, so that each one is the first in turn. */
function rotate<T>(items: readonly T[], turn: number): readonly T[] {
  const first = items.length === 0 ? 0 : turn % items.length;
  return [...items.slice(first), ...items.slice(0, first)];
}

/**
 * Returns the next limit of each service, by name.
 * @param cap the cap of the workspace, Infinity for no limit
 * @param holdings what every service holds that may have runs of the workspace, in the same order each time
 * @param mayRaise whether all of them are known
 * @param turn number of the service that comes first if the cap does not suffice
 */
export function divideCap(
  cap: Resources,
  holdings: readonly ServiceHolding[],
  mayRaise: boolean,
  turn: number,
): ReadonlyMap<string, Resources> {
  const ordered = rotate(holdings, turn);
  const [milliCores, memoryMegabytes, accelerators] = RESOURCES.map((resource) =>
    limitsOf(
      cap[resource],
      ordered.map((holding) => holdingOf(holding, resource)),
      mayRaise,
    ),
  );
  return new Map(
    ordered.map(({ service }, index) => [
      service,
      {
        milliCores: milliCores?.[index] ?? 0,
        memoryMegabytes: memoryMegabytes?.[index] ?? 0,
        accelerators: accelerators?.[index] ?? 0,
      },
    ]),
  );
}
