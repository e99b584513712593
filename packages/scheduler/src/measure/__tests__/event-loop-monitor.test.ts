import { describe } from '@baobabdeck/test-tools';
import { NO_MEASURES } from '../no-measures.js';
import { monitorEventLoop } from '../event-loop-monitor.js';
import { createManualClock } from '../../__tests__/manual-clock.js';

const LOOK_MILLISECONDS = 100;

describe('a process', ({ it }) => {
  it('says once that it is late, and when that is over', async (t) => {
    const clock = createManualClock();
    const lines: unknown[] = [];
    const lateness: number[] = [];
    const watch = monitorEventLoop({
      clock,
      writeEvent: (name, fields) => lines.push([name, fields]),
      measures: { ...NO_MEASURES, timerLate: (milliseconds) => lateness.push(milliseconds) },
    });
    for (const late of [0, 249, 250, 600, 0, 120, ...Array.from({ length: 9 }, () => 0)]) {
      await clock.advance(LOOK_MILLISECONDS + late);
    }
    t.deepEqual(lines, [['loopLate', { lateMilliseconds: 250 }]]);
    await clock.advance(LOOK_MILLISECONDS);
    t.deepEqual(lines.slice(1), [
      // From when the first late look was due, 250 ms before it came.
      ['loopInTime', { milliseconds: 250 + 700 + 100 + 220 + 1_000, longestLateMilliseconds: 600 }],
    ]);
    t.deepEqual(lateness.slice(0, 6), [0, 249, 250, 600, 0, 120]);
    watch.close();
    await clock.advance(LOOK_MILLISECONDS);
  });

  it('says nothing while it is in time', async (t) => {
    const clock = createManualClock();
    const watch = monitorEventLoop({
      clock,
      writeEvent: (name) => t.fail(name),
      measures: NO_MEASURES,
    });
    for (let look = 0; look < 20; look += 1) await clock.advance(LOOK_MILLISECONDS + 5);
    watch.close();
    await clock.advance(LOOK_MILLISECONDS);
    t.pass();
  });
});
