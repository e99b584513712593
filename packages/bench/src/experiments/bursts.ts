/** Five-fold bursts that come to each queue in turn: hosts held in reserve, hosts moved, and the wait. */
import { createRandom } from '@baobabdeck/emulator';
import {
  figure,
  selectPolicies,
  type Experiment,
  type ExperimentOptions,
  type PolicyResult,
} from '../experiment.js';
import { quantilesOf } from '../quantiles.js';
import { startEmulatedSystem, submitTrace, waitsOf, WARM_UP_MILLISECONDS } from '../run-system.js';
import { drawTrace, ONLY_SHORT, type Arrival } from '../trace.js';
import { SLOTS_PER_HOST, USERS, type UserFleet } from '../users.js';

const SHORT_MILLISECONDS = 200;
const BURST_MILLISECONDS = 15_000;
const MEAN_LOAD = 0.3;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
const MINIMUM_HOSTS = 4;
const HOSTS_PER_RACK = 4;
const LEND_BUDGET = 4;
const END_MILLISECONDS = 300_000;

const POLICIES = ['system', 'no-moves', 'own-peak'];

function rateOf(slots: number, index: number, count: number): (milliseconds: number) => number {
  const mean = (slots / SHORT_MILLISECONDS) * MEAN_LOAD;
  const from = index * BURST_MILLISECONDS;
  return (milliseconds) => {
    const turn = milliseconds % (count * BURST_MILLISECONDS);
    return mean * (turn >= from && turn < from + BURST_MILLISECONDS ? BURST_FACTOR : QUIET_FACTOR);
  };
}

function hostsFor(policy: string, hosts: number): number {
  return policy === 'own-peak' ? Math.ceil(hosts * MEAN_LOAD * BURST_FACTOR) + HOSTS_PER_RACK : hosts;
}

function runPolicy(user: UserFleet, policy: string, options: ExperimentOptions): PolicyResult {
  const pools = user.pools.map((pool) => ({
    ...pool,
    hosts: hostsFor(policy, pool.hosts),
    pool: {
      maximumAbsentHosts: LEND_BUDGET,
      failureReserveHosts: 0,
      maximumDrainedPerRack: HOSTS_PER_RACK,
      minimumHosts: policy === 'system' ? MINIMUM_HOSTS : null,
    },
  }));
  const emulator = startEmulatedSystem(options.seed, user.gateways, pools);
  const random = createRandom(options.seed);
  const traces = user.pools.map((pool, index): readonly Arrival[] => {
    const shape = {
      gateways: user.gateways,
      milliseconds: user.pools.length * BURST_MILLISECONDS * 2,
      shortMilliseconds: SHORT_MILLISECONDS,
      ...ONLY_SHORT,
      rateAt: rateOf(pool.hosts * SLOTS_PER_HOST, index, user.pools.length),
    };
    return drawTrace(random, shape, `${user.user}-${pool.name}`);
  });
  traces.forEach((trace, index) => submitTrace(emulator, user.pools[index]?.name ?? '', trace));
  emulator.schedule.runUntil(WARM_UP_MILLISECONDS + END_MILLISECONDS);
  const waits = quantilesOf(traces.flatMap((trace) => waitsOf(emulator, trace)));
  const moves = emulator.log
    .records('fleet')
    .filter(({ record }) => record?.body.kind === 'host-drain-requested').length;
  const hosts = pools.reduce((sum, pool) => sum + pool.hosts, 0);
  const peak = Math.max(...user.pools.map((pool) => pool.hosts * MEAN_LOAD * BURST_FACTOR));
  const others = user.pools.reduce((sum, pool) => sum + pool.hosts * MEAN_LOAD * QUIET_FACTOR, 0);
  const least = Math.ceil(peak + others) + HOSTS_PER_RACK;
  return {
    user: user.user,
    policy,
    figures: [
      figure('buffer cost', hosts - Math.ceil(peak + others), 'hosts', least - Math.ceil(peak + others)),
      figure('host moves', moves, 'moves'),
      figure('short wait p50', waits.p50, 'ms'),
      figure('short wait p99', waits.p99, 'ms'),
    ],
  };
}

/** `npm run bench -- bursts`. */
export const bursts: Experiment = {
  name: 'bursts',
  description: 'five-fold bursts to each queue in turn: buffer cost, host moves and wait',
  policies: POLICIES,
  run: async (options) =>
    USERS.flatMap((user) =>
      selectPolicies(options, POLICIES).map((policy) => runPolicy(user, policy, options)),
    ),
};
