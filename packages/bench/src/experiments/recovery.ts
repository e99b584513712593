/** Loss of a gateway, an outage of the log, a publication: how long until all is well again. */
import { createRandom, requestOf, type Emulator } from '@baobabdeck/emulator';
import { figure, type Experiment, type ExperimentOptions, type PolicyResult } from '../experiment.js';
import { startEmulatedSystem } from '../run-system.js';
import { USERS, type UserFleet } from '../users.js';

const PROBE_EVERY_MILLISECONDS = 50;
const PROBE_RUN_MILLISECONDS = 20;
const PROBE_DEADLINE_MILLISECONDS = 30_000;
const LIMIT_MILLISECONDS = 40_000;
const CONFIGURATION_BOUND_SECONDS = 14;
const OUTAGE_MILLISECONDS = 60_000;

function probe(emulator: Emulator, user: UserFleet, milliseconds: number): readonly string[] {
  const ids: string[] = [];
  const random = createRandom(1);
  for (let at = 0; at < milliseconds; at += PROBE_EVERY_MILLISECONDS) {
    const requestId = `probe-${emulator.schedule.now()}-${at}`;
    ids.push(requestId);
    emulator.schedule.after(at, () => {
      const service = random.pick(user.pools).name;
      const description = requestOf(requestId, service, {
        deadlineMilliseconds: PROBE_DEADLINE_MILLISECONDS,
      });
      emulator.submit(random.pick(emulator.gatewayIds()), {
        description,
        runMilliseconds: PROBE_RUN_MILLISECONDS,
        workId: requestId,
      });
    });
  }
  return ids;
}

function longestWait(emulator: Emulator, ids: readonly string[]): number {
  return ids.reduce((longest, id) => {
    const answer = emulator.answers.get(id);
    const waited =
      answer?.startedAt === undefined || answer.startedAt === null ? 0 : answer.startedAt - answer.arrivedAt;
    return Math.max(longest, waited);
  }, 0);
}

function notAnswered(emulator: Emulator, ids: readonly string[]): number {
  return ids.filter((id) => emulator.answers.get(id)?.kind !== 'answered').length;
}

function loseGateway(user: UserFleet, { seed }: ExperimentOptions): PolicyResult {
  const emulator = startEmulatedSystem(seed, user.gateways, user.pools);
  const [pool] = user.pools;
  const dispatcher =
    emulator
      .process('gateway-1')
      ?.state()
      .dispatchers.get(pool?.name ?? '') ?? 'gateway-1';
  emulator.kill(dispatcher);
  const ids = probe(emulator, user, LIMIT_MILLISECONDS / 2);
  emulator.schedule.runUntil(emulator.schedule.now() + LIMIT_MILLISECONDS);
  return {
    user: `${user.user}, gateway lost`,
    policy: 'system',
    figures: [
      figure('longest wait', longestWait(emulator, ids) / 1_000, 's'),
      figure('not answered', notAnswered(emulator, ids), 'requests', 0),
    ],
  };
}

function outage(user: UserFleet, { seed }: ExperimentOptions): PolicyResult {
  const emulator = startEmulatedSystem(seed, user.gateways, user.pools);
  emulator.log.conditions.down = true;
  const ids = probe(emulator, user, OUTAGE_MILLISECONDS);
  emulator.schedule.runUntil(emulator.schedule.now() + OUTAGE_MILLISECONDS);
  emulator.log.conditions.down = false;
  emulator.schedule.runUntil(emulator.schedule.now() + LIMIT_MILLISECONDS);
  return {
    user: `${user.user}, log down for 60 s`,
    policy: 'system',
    figures: [
      figure('longest wait', longestWait(emulator, ids) / 1_000, 's'),
      figure('not answered', notAnswered(emulator, ids), 'requests', 0),
    ],
  };
}

function publish(user: UserFleet, { seed }: ExperimentOptions): PolicyResult {
  const emulator = startEmulatedSystem(seed, user.gateways, user.pools);
  emulator.cutFromLog('gateway-2', true);
  emulator.schedule.runUntil(emulator.schedule.now() + LIMIT_MILLISECONDS / 4);
  const before = emulator.schedule.now();
  const section = { coresQuota: 1, acceleratorsQuota: 0 };
  emulator.command({
    kind: 'configuration-published',
    expectedVersion: 1,
    changes: [{ sectionKind: 'teams', name: 'new', section }],
  });
  const STEP_MILLISECONDS = 1;
  const inForce = (): boolean =>
    emulator.processes().every((process) => process.state().fold.fleet.configuration.version === 2);
  while (!inForce() && emulator.schedule.now() < before + LIMIT_MILLISECONDS) {
    emulator.schedule.runUntil(emulator.schedule.now() + STEP_MILLISECONDS);
  }
  return {
    user: `${user.user}, publication with one gateway cut off the log`,
    policy: 'system',
    figures: [
      figure(
        'in force everywhere',
        (emulator.schedule.now() - before) / 1_000,
        's',
        CONFIGURATION_BOUND_SECONDS,
      ),
    ],
  };
}

/** `npm run bench -- recovery`. */
export const recovery: Experiment = {
  name: 'recovery',
  description: 'a gateway lost, the log down, a publication while one gateway is cut off',
  policies: ['system'],
  run: async (options) =>
    USERS.flatMap((user) => [loseGateway(user, options), outage(user, options), publish(user, options)]),
};
