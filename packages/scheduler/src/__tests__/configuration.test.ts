import { describe } from '@baobabdeck/test-tools';
import { NO_CAP } from '@baobabdeck/scheduling';
import { authenticateCallers } from '../frontend/caller-authentication.js';
import { digestKey } from '../frontend/key-digest.js';
import { followConfiguration, type ConfigurationFollower } from '../node/configuration.js';
import type {
  CallerAuthentication,
  OperatorFeed,
  OperatorReadOutcome,
  Queue,
  QueueConfiguration,
} from '../ports/index.js';
import { createManualClock, type ManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';

const CONFIGURATION_APPLY_MILLISECONDS = 3_000;

/** Time after which a read without an answer fails, beyond its wait, as in the client of the store. */
const READ_TIMEOUT_MILLISECONDS = 900;

const STEP_MILLISECONDS = 10;

const QUEUE: Queue = {
  name: 'quotes',
  hostName: 'example',
  pathPrefix: '/quotes/',
  service: 'quotes',
  timeoutMilliseconds: 3_000,
  targetMilliseconds: 500,
  stretch: 2,
  priority: 0,
  maximumFailedRuns: 3,
  advice: null,
  isPublic: false,
};

function versionOf(version: number, ...keys: readonly string[]): QueueConfiguration {
  return {
    version,
    queues: [QUEUE],
    services: [],
    workspaces: [{ name: 'red', keyDigests: keys.map(digestKey), weight: 1, cap: NO_CAP }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 262_144,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
  };
}

/** A store that holds one configuration and answers as the test decides. */
interface ModelFeed {
  readonly feed: OperatorFeed;
  readonly publish: (configuration: QueueConfiguration) => void;
  /** Behaviour of the reads that are sent from now on: their number counts from 0. */
  answer: (read: number) => 'answered' | 'lost' | 'refused';
  reads: number;
  underWay: number;
  mostUnderWay: number;
}

function createModelFeed(clock: ManualClock): ModelFeed {
  let published = versionOf(1, 'k1');
  let offset = 1;
  const model: ModelFeed = {
    feed: {
      readNewest: () => read(0, 0),
      read: (fromOffset, wait) => read(fromOffset, wait),
      writeWaveStatus: () => Promise.resolve(true),
    },
    publish: (configuration) => {
      published = configuration;
      offset += 1;
    },
    answer: () => 'answered',
    reads: 0,
    underWay: 0,
    mostUnderWay: 0,
  };

  const outcomeOf = async (fromOffset: number, wait: number): Promise<OperatorReadOutcome> => {
    const manner = model.answer(model.reads);
    model.reads += 1;
    if (manner === 'refused') return { kind: 'failed', detail: 'status 503' };
    if (manner === 'lost') {
      await clock.sleep(wait + READ_TIMEOUT_MILLISECONDS);
      return { kind: 'failed', detail: 'no answer in time' };
    }
    for (let waited = 0; offset <= fromOffset && waited < wait; waited += STEP_MILLISECONDS) {
      await clock.sleep(STEP_MILLISECONDS);
    }
    const entries = offset > fromOffset ? [{ kind: 'configuration' as const, configuration: published }] : [];
    return { kind: 'read', entries, nextOffset: offset };
  };

  const read = async (fromOffset: number, wait: number): Promise<OperatorReadOutcome> => {
    model.underWay += 1;
    model.mostUnderWay = Math.max(model.mostUnderWay, model.underWay);
    const outcome = await outcomeOf(fromOffset, wait);
    model.underWay -= 1;
    return outcome;
  };
  return model;
}

interface Harness {
  readonly clock: ManualClock;
  readonly model: ModelFeed;
  readonly follower: ConfigurationFollower;
  readonly lines: string[];
  readonly run: (milliseconds: number) => Promise<void>;
  readonly call: (key: string) => Promise<CallerAuthentication>;
}

async function createHarness(isStrict = false): Promise<Harness> {
  const clock = createManualClock();
  const model = createModelFeed(clock);
  const lines: string[] = [];
  const follower = followConfiguration({
    feed: model.feed,
    clock,
    background: createTestBackground(clock),
    writeEvent: (name) => lines.push(name),
    onConfiguration: () => undefined,
    onWave: () => undefined,
  });
  const authenticate = authenticateCallers({
    clock,
    background: createTestBackground(clock),
    writeEvent: () => undefined,
    revocation: { isStrict, maximumAgeMilliseconds: 5_000 },
    configuration: follower,
  });
  const run = async (milliseconds: number): Promise<void> => {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
    }
  };
  await run(2_000);
  return {
    clock,
    model,
    follower,
    lines,
    run,
    call: (key) => authenticate(QUEUE, [`Bearer ${key}`]),
  };
}

describe('a new version of the configuration', ({ it }) => {
  it('is in force at once while reads are answered', async (t) => {
    const { model, follower, run } = await createHarness();
    model.publish(versionOf(2, 'k2'));
    await run(2 * STEP_MILLISECONDS);
    t.is(follower.current()?.version, 2);
    follower.close();
  });

  [1, 2, 3, 4].forEach((lost) => {
    it(`is in force within 3 s if ${lost} reads in a row get no answer, from any moment on`, async (t) => {
      for (let moment = 0; moment < 1_000; moment += 50) {
        const { model, follower, run } = await createHarness();
        const first = model.reads;
        model.answer = (read) => (read < first + lost ? 'lost' : 'answered');
        await run(moment);
        model.publish(versionOf(2, 'k2'));
        await run(CONFIGURATION_APPLY_MILLISECONDS);
        t.is(follower.current()?.version, 2, `published after ${moment} ms`);
        follower.close();
      }
    });
  });

  it('never replaces a newer one, also if a read that was sent earlier is answered later', async (t) => {
    const { model, follower, run } = await createHarness();
    model.publish(versionOf(3, 'k3'));
    await run(100);
    model.publish(versionOf(2, 'k2'));
    await run(2_000);
    t.is(follower.current()?.version, 3);
    follower.close();
  });

  it('costs a bounded number of reads while the store is silent', async (t) => {
    const { model, follower, run } = await createHarness();
    model.answer = () => 'lost';
    model.mostUnderWay = 0;
    const before = model.reads;
    await run(10_000);
    t.true(model.mostUnderWay <= 3);
    t.true(model.reads - before <= 40, String(model.reads - before));
    follower.close();
  });

  it('is logged as reachable and unreachable once each, also if old reads fail late', async (t) => {
    const { model, follower, lines, run } = await createHarness();
    const first = model.reads;
    model.answer = (read) => (read < first + 3 ? 'lost' : 'answered');
    await run(6_000);
    t.true(lines.filter((name) => name === 'storeUnreachable').length <= 1);
    follower.close();
  });
});

describe('a call with a removed key', ({ it }) => {
  it('is refused by a process that was paused while the key was removed', async (t) => {
    const { clock, model, follower, call, run } = await createHarness();
    t.like(await call('k1'), { kind: 'authenticated', workspace: 'red' });
    clock.block(10_000);
    model.publish(versionOf(2, 'k2'));
    const answer = call('k1');
    await run(100);
    t.deepEqual(await answer, { kind: 'unauthenticated', reason: 'unknown-key' });
    follower.close();
  });

  it('is served by the version that a process has that cannot read the store', async (t) => {
    const { model, follower, call, run } = await createHarness();
    model.answer = () => 'refused';
    await run(1_000);
    model.publish(versionOf(2, 'k2'));
    await run(20_000);
    t.like(await call('k1'), { kind: 'authenticated' });
    follower.close();
  });

  it('is not delayed while the store is silent', async (t) => {
    const { clock, model, follower, call, run } = await createHarness();
    model.answer = () => 'lost';
    for (let passed = 0; passed < 6_000; passed += 100) {
      await run(100);
      const before = clock.steadyNow();
      t.like(await call('k1'), { kind: 'authenticated' });
      t.is(clock.steadyNow(), before);
    }
    follower.close();
  });
});

describe('strict revocation', ({ it }) => {
  it('refuses calls once the configuration could not be read for 5 s, until it can', async (t) => {
    const { model, follower, call, run } = await createHarness(true);
    model.answer = () => 'refused';
    await run(3_500);
    t.like(await call('k1'), { kind: 'authenticated' });
    await run(1_600);
    t.deepEqual(await call('k1'), { kind: 'unverifiable' });
    t.deepEqual(await call('unknown'), { kind: 'unverifiable' });
    model.answer = () => 'answered';
    await run(500);
    t.like(await call('k1'), { kind: 'authenticated' });
    t.like(await call('unknown'), { kind: 'unauthenticated' });
    follower.close();
  });
});
