import { describe } from '@baobabdeck/test-tools';
import { estimateOfferedMilliCores } from '../service/demand.js';

const NOW = 100_000;
const WORK = 600_000;

/** Arrivals every so many milliseconds, up to now. */
function arrivalsEvery(milliseconds: number, since: number) {
  const count = Math.floor((NOW - since) / milliseconds);
  return Array.from({ length: count }, (_, index) => ({ at: NOW - index * milliseconds, work: WORK }));
}

describe('the load that arrivals offer', ({ it }) => {
  it('is their average where they come evenly', (t) => {
    t.is(estimateOfferedMilliCores(arrivalsEvery(500, NOW - 2_000), NOW), (4 * WORK) / 2_000);
  });

  it('is seen within a moment where a burst begins', (t) => {
    const offered = estimateOfferedMilliCores(arrivalsEvery(100, NOW - 600), NOW);
    t.is(offered, (6 * WORK) / 600);
  });

  it('is not taken for a burst where a few come close together', (t) => {
    t.is(estimateOfferedMilliCores(arrivalsEvery(100, NOW - 300), NOW), (3 * WORK) / 2_000);
  });
});
