import { describe } from '@baobabdeck/test-tools';
import { createServiceHarness, jobOf, startsOf } from './service-harness.js';

/** More steps than one scan of all workers may try. */
const STEPS_BEYOND_ONE_SCAN = 2_500;

/** Time for two scans of all workers. */
const TWO_SCANS_MILLISECONDS = 2_400;
const TICK_MILLISECONDS = 100;

/** Targets so late that no job is late within the test; patient jobs come last in the queue. */
const IN_TIME = { targetMilliseconds: 60_000 };
const PATIENT = { targetMilliseconds: 120_000 };

function advanceTwoScans(harness: ReturnType<typeof createServiceHarness>): readonly string[] {
  const ticks = TWO_SCANS_MILLISECONDS / TICK_MILLISECONDS;
  return Array.from({ length: ticks }).flatMap(() => startsOf(harness.advance(TICK_MILLISECONDS)));
}

describe('long queues', ({ it }) => {
  it('places a task behind many steps that fit on no worker', (t) => {
    const harness = createServiceHarness();
    const unplaceable = Array.from({ length: STEPS_BEYOND_ONE_SCAN }, (_, index) =>
      jobOf(`l${index}`, [{ requiredLabel: 'none' }], IN_TIME),
    );
    harness.accept(...unplaceable, jobOf('plain', [{}], PATIENT));
    t.deepEqual(startsOf(harness.addWorkers(['w1'])).concat(advanceTwoScans(harness)), ['w1']);
  });

  it('places a gang behind many gangs that fit on no worker', (t) => {
    const harness = createServiceHarness();
    const tooLarge = Array.from({ length: 100 }, (_, index) =>
      jobOf(`g${index}`, [{ isGang: true, taskCount: 9 }], IN_TIME),
    );
    const small = jobOf('small', [{ isGang: true, taskCount: 2 }], PATIENT);
    harness.accept(...tooLarge, small);
    t.deepEqual(startsOf(harness.addWorkers(['w1'])).concat(advanceTwoScans(harness)), ['w1', 'w1']);
  });
});
