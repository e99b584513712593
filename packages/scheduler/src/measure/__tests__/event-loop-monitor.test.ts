import { describe } from '@baobabdeck/test-tools';
import { NO_MEASURES } from '../no-measures.js';
import { monitorEventLoop } from '../event-loop-monitor.js';
import { createManualClock } from '../../__tests__/manual-clock.js';
import { createTestBackground } from '../../__tests__/test-background.js';

const CHECK_INTERVAL_MILLISECONDS = 100;

describe('event loop monitor', ({ it }) => {
  it('logs once that the process is late, and once that it is on time again', async (t) => {
    const clock = createManualClock();
    const lines: unknown[] = [];
    const lateness: number[] = [];
    const monitor = monitorEventLoop({
      clock,
      background: createTestBackground(clock),
      writeEvent: (name, fields) => lines.push([name, fields]),
      measures: { ...NO_MEASURES, timerLate: (milliseconds) => lateness.push(milliseconds) },
    });
    for (const late of [0, 249, 250, 600, 0, 120, ...Array.from({ length: 9 }, () => 0)]) {
      await clock.advance(CHECK_INTERVAL_MILLISECONDS + late);
    }
    t.deepEqual(lines, [['loopLate', { lateMilliseconds: 250 }]]);
    await clock.advance(CHECK_INTERVAL_MILLISECONDS);
    t.deepEqual(lines.slice(1), [
      // Counted from when the first late check was due, 250 ms before it ran.
      ['loopInTime', { milliseconds: 250 + 700 + 100 + 220 + 1_000, longestLateMilliseconds: 600 }],
    ]);
    t.deepEqual(lateness.slice(0, 6), [0, 249, 250, 600, 0, 120]);
    monitor.close();
    await clock.advance(CHECK_INTERVAL_MILLISECONDS);
  });

  it('logs nothing while the process is on time', async (t) => {
    const clock = createManualClock();
    const monitor = monitorEventLoop({
      clock,
      background: createTestBackground(clock),
      writeEvent: (name) => t.fail(name),
      measures: NO_MEASURES,
    });
    for (let check = 0; check < 20; check += 1) await clock.advance(CHECK_INTERVAL_MILLISECONDS + 5);
    monitor.close();
    await clock.advance(CHECK_INTERVAL_MILLISECONDS);
    t.pass();
  });
});
