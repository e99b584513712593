/** A maintenance wave under load: its time beside the least that the budgets allow, and what callers felt. */
import { createRandom } from '@baobabdeck/emulator';
import {
  figure,
  selectPolicies,
  type Experiment,
  type ExperimentOptions,
  type PolicyResult,
} from '../experiment.js';
import { quantilesOf } from '../quantiles.js';
import { startEmulatedSystem, submitTrace, waitsOf } from '../run-system.js';
import { drawTrace, ONLY_SHORT } from '../trace.js';
import { SLOTS_PER_HOST, USERS, type UserFleet } from '../users.js';

const REBOOT_MILLISECONDS = 120_000;
const SHORT_MILLISECONDS = 100;
const LOAD = 0.4;
const LOAD_MILLISECONDS = 60_000;
const BUDGET_HOSTS = 3;
const RESERVE_HOSTS = 1;
const TARGET_RATIO = 1.15;
const STEP_MILLISECONDS = 1_000;
const END_MILLISECONDS = 3_600_000;

const POLICIES = ['system', 'one-at-a-time'];

function runPolicy(user: UserFleet, policy: string, options: ExperimentOptions): PolicyResult {
  const [first] = user.pools;
  if (first === undefined) return { user: user.user, policy, figures: [] };
  const failureReserveHosts = policy === 'one-at-a-time' ? BUDGET_HOSTS - 1 : RESERVE_HOSTS;
  const pool = { ...first, pool: { ...first.pool, maximumAbsentHosts: BUDGET_HOSTS, failureReserveHosts } };
  const emulator = startEmulatedSystem(options.seed, user.gateways, [pool], {
    rebootMilliseconds: REBOOT_MILLISECONDS,
  });
  const slots = first.hosts * SLOTS_PER_HOST;
  const shape = {
    gateways: user.gateways,
    milliseconds: LOAD_MILLISECONDS,
    shortMilliseconds: SHORT_MILLISECONDS,
    ...ONLY_SHORT,
    rateAt: () => (slots / SHORT_MILLISECONDS) * LOAD,
  };
  const trace = drawTrace(createRandom(options.seed), shape, user.user);
  submitTrace(emulator, pool.name, trace);
  const startedAt = emulator.schedule.now();
  emulator.command({ kind: 'wave-started', plan: { waveId: 'wave', hostIds: [...emulator.hosts.keys()] } });
  const controller = emulator.process('controller-1');
  const wave = () => controller?.state().fold.fleet.waves.get('wave');
  let mostAbsent = 0;
  while (wave()?.state !== 'finished' && emulator.schedule.now() < END_MILLISECONDS) {
    emulator.schedule.runUntil(emulator.schedule.now() + STEP_MILLISECONDS);
    mostAbsent = Math.max(
      mostAbsent,
      controller?.state().fold.fleet.pools.get(pool.name)?.absentHostIds.size ?? 0,
    );
  }
  const seconds = (emulator.schedule.now() - startedAt) / 1_000;
  const rounds = Math.ceil(first.hosts / (BUDGET_HOSTS - RESERVE_HOSTS));
  const bound = (rounds * (SHORT_MILLISECONDS + REBOOT_MILLISECONDS)) / 1_000;
  const refused = [...emulator.answers.values()].filter((answer) => answer.kind !== 'answered').length;
  const cut = [...emulator.hosts.values()].reduce((sum, host) => sum + host.cutByReboot(), 0);
  return {
    user: user.user,
    policy,
    figures: [
      figure('roll-out time', seconds, 's', bound * TARGET_RATIO),
      figure('ratio to the least time', seconds / bound, '', TARGET_RATIO),
      figure('most hosts absent', mostAbsent, 'hosts', BUDGET_HOSTS),
      figure('short wait p99', quantilesOf(waitsOf(emulator, trace)).p99, 'ms'),
      figure('requests not answered', refused, 'requests', 0),
      figure('work cut off by reboots', cut, 'requests', 0),
    ],
  };
}

/** `npm run bench -- rollout`. */
export const rollout: Experiment = {
  name: 'rollout',
  description: 'a maintenance wave under load beside the least time that the budgets allow',
  policies: POLICIES,
  run: async (options) =>
    USERS.flatMap((user) =>
      selectPolicies(options, POLICIES).map((policy) => runPolicy(user, policy, options)),
    ),
};
