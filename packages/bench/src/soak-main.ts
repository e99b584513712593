/** `npm run soak -- --minutes N [--seed S]`: random schedules for as long as asked. */
import { parseArgs } from 'node:util';
import { createRandom, drawActions, runSchedule } from '@baobabdeck/emulator';

const ACTIONS_PER_RUN = 30;
const MILLISECONDS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: { minutes: { type: 'string', default: '1' }, seed: { type: 'string', default: '1' } },
});
const minutes = Number(values.minutes);
const firstSeed = Number(values.seed);
if (!(minutes > 0) || !Number.isInteger(firstSeed)) {
  process.stderr.write('soak: [2009] expected --minutes above 0 and a whole --seed\n');
  process.exit(2);
}

interface Totals {
  readonly events: number;
  readonly requests: number;
  readonly violations: number;
}

function runSeed(seed: number, totals: Totals): Totals {
  const report = runSchedule(seed, drawActions(createRandom(seed), ACTIONS_PER_RUN));
  report.faults.forEach((fault) => process.stdout.write(`seed ${seed}: ${fault}\n`));
  return {
    events: totals.events + report.events,
    requests: totals.requests + report.requests,
    violations: totals.violations + report.faults.length,
  };
}

const endAt = Date.now() + minutes * MILLISECONDS_PER_MINUTE;
let seed = firstSeed;
let totals: Totals = { events: 0, requests: 0, violations: 0 };
while (Date.now() < endAt) {
  totals = runSeed(seed, totals);
  seed += 1;
}
process.stdout.write(
  `seeds ${firstSeed} to ${seed - 1}, ${totals.events} events, ${totals.requests} requests, ${totals.violations} violations\n`,
);
process.exitCode = totals.violations === 0 ? 0 : 1;
