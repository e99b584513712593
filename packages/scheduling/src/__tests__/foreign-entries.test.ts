/** Guards against register entries of another writer that change what the service takes its own workers for. */
import { describe } from '@baobabdeck/test-tools';
import { selectServiceReport } from '../service/demand.js';
import { createServiceHarness, jobOf, listingOf, startsOf } from './service-harness.js';

const HUGE = Number.MAX_SAFE_INTEGER;
const CAPACITIES = [
  { milliCores: HUGE, memoryMegabytes: HUGE, accelerators: HUGE },
  { milliCores: 0, memoryMegabytes: 0, accelerators: 0 },
];

describe('a register entry that no worker stands behind', ({ it }) => {
  for (const capacity of CAPACITIES) {
    it(`gets no task and changes no demand for hosts with a capacity of ${capacity.milliCores}`, (t) => {
      const harness = createServiceHarness();
      // The foreign entry is found first and never answers.
      const foreign = listingOf('__proto__', { capacity, incarnation: HUGE, clockMilliseconds: HUGE });
      harness.dispatch({ kind: 'workers-listed', workers: [foreign] });
      harness.dispatch({ kind: 'worker-silent', workerId: '__proto__', askedAt: harness.state().now });
      harness.dispatch({ kind: 'workers-listed', workers: [foreign, listingOf('w1')] });
      harness.report('w1', {});
      t.deepEqual(startsOf(harness.accept(jobOf('small', [{ taskCount: 6 }]))), ['w1', 'w1', 'w1', 'w1']);
      harness.accept(jobOf('gang', [{ taskCount: 8, isGang: true }]));
      // The gang finds no free capacity; a worker like w1 takes four of its members.
      const { missingHosts, hosts } = selectServiceReport(harness.state());
      t.is(missingHosts, 2);
      t.deepEqual(
        hosts.map(({ workerId, isSound }) => [workerId, isSound]),
        [
          ['__proto__', false],
          ['w1', true],
        ],
      );
      t.deepEqual(harness.violations(), []);
    });
  }
});
