import { describe } from '@baobabdeck/test-tools';
import { createPlay, jobOf, startsOf } from './service-play.js';

/** More than one look may try. */
const MANY = 2_500;

/** Time for two looks at all workers. */
const LOOKS_MILLISECONDS = 2_400;
const TICK_MILLISECONDS = 100;

/** Nothing is late within the test, and what is patient comes last. */
const IN_TIME = { targetMilliseconds: 60_000 };
const PATIENT = { targetMilliseconds: 120_000 };

function passLooks(play: ReturnType<typeof createPlay>): readonly string[] {
  const ticks = LOOKS_MILLISECONDS / TICK_MILLISECONDS;
  return Array.from({ length: ticks }).flatMap(() => startsOf(play.pass(TICK_MILLISECONDS)));
}

describe('a task behind many that find no worker', ({ it }) => {
  it('does not stand still beside free room', (t) => {
    const play = createPlay();
    const unplaceable = Array.from({ length: MANY }, (_, index) =>
      jobOf(`l${index}`, [{ requiredLabel: 'none' }], IN_TIME),
    );
    play.accept(...unplaceable, jobOf('plain', [{}], PATIENT));
    t.deepEqual(startsOf(play.addWorkers(['w1'])).concat(passLooks(play)), ['w1']);
  });

  it('does not stand still beside free room where it is a gang behind gangs', (t) => {
    const play = createPlay();
    const large = Array.from({ length: 100 }, (_, index) =>
      jobOf(`g${index}`, [{ isGang: true, taskCount: 9 }], IN_TIME),
    );
    const small = jobOf('small', [{ isGang: true, taskCount: 2 }], PATIENT);
    play.accept(...large, small);
    t.deepEqual(startsOf(play.addWorkers(['w1'])).concat(passLooks(play)), ['w1', 'w1']);
  });
});
