import { describe } from '@baobabdeck/test-tools';
import { estimateOfferedMilliCores } from '../state/arrivals.js';

const NOW = 100_000;
const WORK = 600_000;

/** Returns arrivals at a fixed interval since a time, the last of them now. */
function arrivalsEvery(milliseconds: number, since: number) {
  const count = Math.floor((NOW - since) / milliseconds);
  return Array.from({ length: count }, (_, index) => ({ at: NOW - index * milliseconds, work: WORK }));
}

describe('offered load', ({ it }) => {
  it('averages evenly spaced arrivals', (t) => {
    t.is(estimateOfferedMilliCores(arrivalsEvery(500, NOW - 2_000), NOW), (4 * WORK) / 2_000);
  });

  it('rises within 600 ms when a burst begins', (t) => {
    const offered = estimateOfferedMilliCores(arrivalsEvery(100, NOW - 600), NOW);
    t.is(offered, (6 * WORK) / 600);
  });

  it('does not take a few close arrivals for a burst', (t) => {
    t.is(estimateOfferedMilliCores(arrivalsEvery(100, NOW - 300), NOW), (3 * WORK) / 2_000);
  });
});
