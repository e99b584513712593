/** Twice what the pool can do, and a total failure of its targets: attempts, refusals and what still gets done. */
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

const SHORT_MILLISECONDS = 100;
const TRACE_MILLISECONDS = 20_000;
const OVERLOAD = 2;
const FAILURE_FROM = 5_000;
const FAILURE_UNTIL = 15_000;
const FAILURE_LOAD = 0.5;
const ATTEMPT_BOUND = 1.2;
const MAXIMUM_WAITING = 50;
const END_MILLISECONDS = 120_000;

/** Retries that nothing bounds but the attempts of one request. */
const UNBOUNDED_TOKENS = 1_000_000;

const POLICIES = ['system', 'unbounded-retries', 'unbounded-queue'];

function traceOf(user: UserFleet, seed: number, load: number): readonly Arrival[] {
  const slots = (user.pools[0]?.hosts ?? 0) * SLOTS_PER_HOST;
  const shape = {
    gateways: user.gateways,
    milliseconds: TRACE_MILLISECONDS,
    shortMilliseconds: SHORT_MILLISECONDS,
    ...ONLY_SHORT,
    rateAt: () => (slots / SHORT_MILLISECONDS) * load,
  };
  return drawTrace(createRandom(seed), shape, user.user);
}

function runPolicy(
  user: UserFleet,
  policy: string,
  failing: boolean,
  options: ExperimentOptions,
): PolicyResult {
  const [first] = user.pools;
  if (first === undefined) return { user: user.user, policy, figures: [] };
  const maximumWaiting = policy === 'unbounded-queue' ? 1_000_000 : MAXIMUM_WAITING;
  const pool = { ...first, service: { maximumWaiting } };
  const tokens = policy === 'unbounded-retries' ? { maximumRetryTokens: UNBOUNDED_TOKENS } : {};
  const emulator = startEmulatedSystem(options.seed, user.gateways, [pool], { parameters: tokens });
  const trace = traceOf(user, options.seed, failing ? FAILURE_LOAD : OVERLOAD);
  submitTrace(emulator, pool.name, trace);
  if (failing) {
    emulator.schedule.after(FAILURE_FROM, () => emulator.hosts.forEach((host) => host.stop(false)));
    emulator.schedule.after(FAILURE_UNTIL, () => emulator.hosts.forEach((host) => host.boot()));
  }
  emulator.schedule.runUntil(WARM_UP_MILLISECONDS + END_MILLISECONDS);
  const answers = [...emulator.answers.values()];
  const share = (matches: (code: number | null) => boolean): number =>
    answers.filter((answer) => matches(answer.code)).length / answers.length;
  const waits = quantilesOf(waitsOf(emulator, trace));
  const TOO_MANY_WAITING = 1007;
  return {
    user: `${user.user}, ${failing ? 'targets fail for 10 s' : 'twice the capacity'}`,
    policy,
    figures: [
      figure('attempts per request', emulator.attemptCount() / trace.length, '', ATTEMPT_BOUND),
      figure(
        'answered',
        share((code) => code === null),
        'share',
      ),
      figure(
        'refused before start',
        share((code) => code === TOO_MANY_WAITING),
        'share',
      ),
      figure('wait of what ran p99', waits.p99, 'ms'),
    ],
  };
}

/** `npm run bench -- overload`. */
export const overload: Experiment = {
  name: 'overload',
  description: 'twice the capacity, and targets that all fail for a while',
  policies: POLICIES,
  run: async (options) =>
    USERS.flatMap((user) =>
      [false, true].flatMap((failing) =>
        selectPolicies(options, POLICIES).map((policy) => runPolicy(user, policy, failing, options)),
      ),
    ),
};
