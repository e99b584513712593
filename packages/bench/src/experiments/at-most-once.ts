/** The same key at two gateways, some of which die: what runs twice, what is refused, what the claim costs. */
import { createRandom, requestOf, type Emulator } from '@baobabdeck/emulator';
import {
  figure,
  selectPolicies,
  type Experiment,
  type ExperimentOptions,
  type PolicyResult,
} from '../experiment.js';
import { quantilesOf } from '../quantiles.js';
import { startEmulatedSystem } from '../run-system.js';
import { USERS, type UserFleet } from '../users.js';

const ORDERS = 2_000;
const GAP_MILLISECONDS = 20;
const RUN_MILLISECONDS = 80;
const REPEAT_WITHIN_MILLISECONDS = 3_000;
const KILL_EVERY_MILLISECONDS = 8_000;
const RESTART_MILLISECONDS = 2_000;
const END_MILLISECONDS = 90_000;

interface OrderPlan {
  readonly key: string;
  readonly at: number;
  readonly first: number;
  readonly second: number;
  readonly repeatAfter: number;
}

function planOrders(seed: number, gateways: number): readonly OrderPlan[] {
  const random = createRandom(seed);
  return Array.from({ length: ORDERS }, (_, index) => ({
    key: `order-${index}`,
    at: index * GAP_MILLISECONDS,
    first: random.below(gateways),
    second: random.below(gateways),
    repeatAfter: random.chance(0.5) ? 0 : random.below(REPEAT_WITHIN_MILLISECONDS),
  }));
}

function killInTurn(emulator: Emulator, gateways: number, untilMilliseconds: number): void {
  for (let round = 1; round * KILL_EVERY_MILLISECONDS < untilMilliseconds; round += 1) {
    const name = `gateway-${(round % gateways) + 1}`;
    emulator.schedule.after(round * KILL_EVERY_MILLISECONDS, () => emulator.kill(name));
    emulator.schedule.after(round * KILL_EVERY_MILLISECONDS + RESTART_MILLISECONDS, () =>
      emulator.start(name, 'gateway'),
    );
  }
}

function submitOrder(
  emulator: Emulator,
  service: string,
  plan: OrderPlan,
  suffix: string,
  gateway: number,
  claimed: boolean,
): void {
  const ids = emulator.gatewayIds();
  const requestId = `${plan.key}-${suffix}`;
  const description = requestOf(requestId, service, {
    repeatable: false,
    keyHash: claimed ? plan.key : null,
    fingerprint: claimed ? plan.key : '',
    workKind: `POST ${service}/order`,
  });
  const gatewayId = ids[gateway % ids.length];
  if (gatewayId !== undefined) {
    emulator.submit(gatewayId, { description, runMilliseconds: RUN_MILLISECONDS, workId: plan.key });
  }
}

function runPolicy(user: UserFleet, policy: string, options: ExperimentOptions): PolicyResult {
  const [pool] = user.pools;
  const service = pool?.name ?? '';
  const emulator = startEmulatedSystem(options.seed, user.gateways, pool === undefined ? [] : [pool]);
  const appendsBefore = emulator.log.appendCount();
  killInTurn(emulator, user.gateways, ORDERS * GAP_MILLISECONDS);
  const plans = planOrders(options.seed, user.gateways);
  plans.forEach((plan) => {
    emulator.schedule.after(plan.at, () =>
      submitOrder(emulator, service, plan, 'a', plan.first, policy === 'claim-in-log'),
    );
    emulator.schedule.after(plan.at + plan.repeatAfter, () =>
      submitOrder(emulator, service, plan, 'b', plan.second, policy === 'claim-in-log'),
    );
  });
  emulator.schedule.runUntil(END_MILLISECONDS);
  const answers = [...emulator.answers.values()];
  const duplicates = plans.filter((plan) => (emulator.runs.get(plan.key) ?? 0) > 1).length;
  const waits = quantilesOf(
    answers.flatMap((answer) => (answer.startedAt === null ? [] : [answer.startedAt - answer.arrivedAt])),
  );
  const share = (kind: string): number =>
    answers.filter((answer) => answer.kind === kind).length / answers.length;
  const seconds = (ORDERS * GAP_MILLISECONDS) / 1_000;
  return {
    user: user.user,
    policy,
    figures: [
      figure('orders that ran twice', duplicates, 'orders', 0),
      figure('answered or replayed', share('answered') + share('replayed'), 'share'),
      figure('refused', share('refused'), 'share'),
      figure('cut by a dying gateway', share('broken'), 'share'),
      figure('time to start p50', waits.p50, 'ms'),
      figure('time to start p99', waits.p99, 'ms'),
      figure('appends', (emulator.log.appendCount() - appendsBefore) / seconds, '/s', 300),
    ],
  };
}

const POLICIES = ['claim-in-log', 'no-claim'];

/** `npm run bench -- at-most-once`. */
export const atMostOnce: Experiment = {
  name: 'at-most-once',
  description: 'orders sent twice while gateways die: duplicates, refusals and the cost of the claim',
  policies: POLICIES,
  run: async (options) =>
    USERS.flatMap((user) =>
      selectPolicies(options, POLICIES).map((policy) => runPolicy(user, policy, options)),
    ),
};
