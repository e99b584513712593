import { describe } from '@baobabdeck/test-tools';
import type { LogFields } from '@baobabdeck/observability';
import type { SteadyClock } from '../../node/steady-clock.js';
import { playWarmUp } from '../warm-up-play.js';
import { warmUp } from '../warm-up.js';

const PARAMETERS = {
  leaseMilliseconds: 5_000,
  ownershipProofMilliseconds: 5_000,
  reportWaitMilliseconds: 1_000,
  silenceMilliseconds: 500,
  statusRetentionMilliseconds: 120_000,
  gangTimeoutMilliseconds: 3_000,
  stopMilliseconds: 400,
  remoteFactor: 2,
  absenceNoticeMilliseconds: 4_500,
};

/** A clock on which each reading takes `readingMilliseconds` and each sleep is late by `lateMilliseconds`. */
function createClock(readingMilliseconds: number, lateMilliseconds: number): SteadyClock {
  let now = 0;
  return {
    now: () => new Date(now),
    steadyNow: () => {
      now += readingMilliseconds;
      return now;
    },
    sleep: (milliseconds) => {
      now += milliseconds + lateMilliseconds;
      return Promise.resolve();
    },
  };
}

async function runWarmUp(
  clock: SteadyClock,
  isStopping: () => boolean,
  isCandidate: () => boolean = () => true,
): Promise<readonly (LogFields | undefined)[]> {
  const lines: (LogFields | undefined)[] = [];
  await warmUp({
    clock,
    parameters: PARAMETERS,
    writeEvent: (_name, fields) => lines.push(fields),
    isCandidate,
    isStopping,
  });
  return lines;
}

describe('warm-up', ({ it }) => {
  it('plays every job to its end', (t) => {
    const play = playWarmUp(PARAMETERS, new Date(0));
    let step = play.next();
    while (step.done !== true) step = play.next();
    t.is(step.value.completedJobs, 150);
    t.is(step.value.cancelledJobs, 10);
  });

  it('yields between events, so that it can run in slices', async (t) => {
    const [line] = await runWarmUp(createClock(0.5, 0), () => false);
    t.is(line?.plays, 4);
    // Each event takes 0.5 ms of this clock, so the play needs many slices of 6 ms.
    t.true(Number(line?.milliseconds) > Number(line?.busyMilliseconds));
  });

  it('is abandoned when the process stops', async (t) => {
    t.deepEqual(await runWarmUp(createClock(0.5, 0), () => true), []);
  });

  it('waits until the process may be assigned services', async (t) => {
    const clock = createClock(0.5, 0);
    let mayOwnServices = false;
    let checks = 0;
    const [line] = await runWarmUp(
      clock,
      () => {
        checks += 1;
        mayOwnServices = checks > 10;
        return false;
      },
      () => mayOwnServices,
    );
    t.true(clock.steadyNow() > 10 * 100);
    t.is(line?.plays, 4);
  });

  it('leaves the processor to real work', async (t) => {
    let remainingChecks = 50;
    const clock = createClock(0.5, 20);
    const lines = await runWarmUp(clock, () => {
      remainingChecks -= 1;
      return remainingChecks === 0;
    });
    t.deepEqual(lines, []);
  });
});
