/** Short work behind long work: the wait for a slot, beside one central queue over the same slots. */
import { createRandom } from '@baobabdeck/emulator';
import {
  figure,
  selectPolicies,
  type Experiment,
  type ExperimentOptions,
  type PolicyResult,
} from '../experiment.js';
import { quantilesOf } from '../quantiles.js';
import { runQueueModel, type ChooseGroup, type SlotGroup } from '../queue-model.js';
import { startEmulatedSystem, submitTrace, waitsOf, WARM_UP_MILLISECONDS } from '../run-system.js';
import { drawTrace, meanRun, type Arrival, type TraceShape } from '../trace.js';
import { SLOTS_PER_HOST, USERS, type UserFleet } from '../users.js';

const SHORT_MILLISECONDS = 100;
const LONG_SHARE = 0.05;
const LONG_FACTOR = 50;
const STEADY_LOAD = 0.85;
const TRACE_MILLISECONDS = 60_000;
const BURST_FROM = 20_000;
const BURST_UNTIL = 25_000;
const BURST_FACTOR = 5;
const BURST_BASE_LOAD = 0.3;
const ROUND_TRIP_MILLISECONDS = 2;
const TARGET_RATIO = 1.3;
const END_MILLISECONDS = 400_000;

interface Scenario {
  readonly name: string;
  readonly loadAt: (milliseconds: number) => number;
}

const SCENARIOS: readonly Scenario[] = [
  { name: 'steady 85 %', loadAt: () => STEADY_LOAD },
  {
    name: 'five-fold burst',
    loadAt: (milliseconds) =>
      BURST_BASE_LOAD * (milliseconds >= BURST_FROM && milliseconds < BURST_UNTIL ? BURST_FACTOR : 1),
  },
];

function shapeOf(user: UserFleet, slots: number, scenario: Scenario): TraceShape {
  const shape = {
    gateways: user.gateways,
    milliseconds: TRACE_MILLISECONDS,
    shortMilliseconds: SHORT_MILLISECONDS,
    longShare: LONG_SHARE,
    longFactor: LONG_FACTOR,
    rateAt: () => 0,
  };
  const perLoad = slots / meanRun(shape);
  return { ...shape, rateAt: (milliseconds) => perLoad * scenario.loadAt(milliseconds) };
}

const mostFree: ChooseGroup = (_, free) => free.indexOf(Math.max(...free));
const ownGateway: ChooseGroup = (arrival) => arrival.gateway;

function splitSlots(slots: number, parts: number): readonly number[] {
  return Array.from(
    { length: parts },
    (_, index) => Math.floor(slots / parts) + (index < slots % parts ? 1 : 0),
  );
}

function groupsOf(policy: string, user: UserFleet, slots: number, reserved: number): readonly SlotGroup[] {
  const longShare = (slots - reserved) / slots;
  if (policy === 'central-queue') return [{ slots, longSlots: slots - reserved }];
  const parts =
    policy === 'static-shares' ? splitSlots(slots, user.gateways) : splitSlots(slots, slots / SLOTS_PER_HOST);
  return parts.map((part) => ({ slots: part, longSlots: Math.max(1, Math.floor(part * longShare)) }));
}

function runModel(
  policy: string,
  user: UserFleet,
  trace: readonly Arrival[],
  slots: number,
  reserved: number,
  seed: number,
): readonly number[] {
  const choose = policy === 'static-shares' ? ownGateway : mostFree;
  const overhead = policy === 'owner-per-worker' ? ROUND_TRIP_MILLISECONDS : 0;
  return runQueueModel(trace, groupsOf(policy, user, slots, reserved), choose, createRandom(seed), overhead)
    .shortWaits;
}

function runReal(user: UserFleet, trace: readonly Arrival[], seed: number): readonly number[] {
  const [pool] = user.pools;
  if (pool === undefined) return [];
  const emulator = startEmulatedSystem(seed, user.gateways, [pool]);
  submitTrace(emulator, pool.name, trace);
  emulator.schedule.runUntil(WARM_UP_MILLISECONDS + END_MILLISECONDS);
  return waitsOf(
    emulator,
    trace.filter((arrival) => !arrival.isLong),
  );
}

const POLICIES = ['central-queue', 'system', 'owner-per-worker', 'static-shares'];

function runScenario(
  user: UserFleet,
  scenario: Scenario,
  options: ExperimentOptions,
): readonly PolicyResult[] {
  const slots = (user.pools[0]?.hosts ?? 0) * SLOTS_PER_HOST;
  const reserved = user.pools[0]?.pool?.slotsReservedForShort ?? 0;
  const trace = drawTrace(createRandom(options.seed), shapeOf(user, slots, scenario), user.user);
  const waitsOfPolicy = (policy: string): readonly number[] =>
    policy === 'system'
      ? runReal(user, trace, options.seed)
      : runModel(policy, user, trace, slots, reserved, options.seed);
  const bound = quantilesOf(waitsOfPolicy('central-queue'));
  return selectPolicies(options, POLICIES).map((policy) => {
    const waits = policy === 'central-queue' ? bound : quantilesOf(waitsOfPolicy(policy));
    return {
      user: `${user.user}, ${scenario.name}`,
      policy,
      figures: [
        figure('short wait p50', waits.p50, 'ms', bound.p50 * TARGET_RATIO),
        figure('short wait p99', waits.p99, 'ms', bound.p99 * TARGET_RATIO),
        figure('short work', waits.count, 'requests'),
      ],
    };
  });
}

/** `npm run bench -- short-work`. */
export const shortWork: Experiment = {
  name: 'short-work',
  description: 'wait of short work beside long work, steady and in a burst',
  policies: POLICIES,
  run: async (options) =>
    USERS.flatMap((user) => SCENARIOS.flatMap((scenario) => runScenario(user, scenario, options))),
};
