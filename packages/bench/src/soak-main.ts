/** `npm run soak -- [--fleet] --minutes N [--seed S]`: random schedules for as long as asked. */
import { parseArgs } from 'node:util';
import { createRandom, drawActions, runSchedule } from '@baobabdeck/emulator';
import { playSchedule, SMALL_PLAY } from '@baobabdeck/fleet-emulator';

const ACTIONS_PER_RUN = 30;
const MILLISECONDS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    /** Plays schedulers with workers and hosts; otherwise gateways with targets. */
    fleet: { type: 'boolean', default: false },
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
    /** Ends after so many seeds, whatever the time. */
    seeds: { type: 'string' },
  },
});
const minutes = Number(values.minutes);
const firstSeed = Number(values.seed);
const mostSeeds = values.seeds === undefined ? Infinity : Number(values.seeds);
if (!(minutes > 0) || !Number.isInteger(firstSeed) || !(mostSeeds > 0)) {
  process.stderr.write('soak: [2009] expected --minutes and --seeds above 0 and a whole --seed\n');
  process.exit(2);
}

/** What one seed brought about. */
interface SeedReport {
  readonly faults: readonly string[];
  /** Requests of callers, or jobs that were accepted. */
  readonly requests: number;
}

function playGateways(seed: number): SeedReport {
  const { faults, requests } = runSchedule(seed, drawActions(createRandom(seed), ACTIONS_PER_RUN));
  return { faults, requests };
}

async function playFleet(seed: number): Promise<SeedReport> {
  const { violations, errors, accepted } = await playSchedule({ ...SMALL_PLAY, seed });
  const broken = violations.map(({ rule, at, detail }) => `${rule} at ${at} ms: ${detail}`);
  return { faults: [...broken, ...errors], requests: accepted };
}

const play = values.fleet ? playFleet : playGateways;
const endAt = Date.now() + minutes * MILLISECONDS_PER_MINUTE;
let seed = firstSeed;
let requests = 0;
let violations = 0;
while (Date.now() < endAt && seed < firstSeed + mostSeeds) {
  const report = await play(seed);
  for (const fault of report.faults) process.stdout.write(`seed ${seed}: ${fault}\n`);
  requests += report.requests;
  violations += report.faults.length;
  seed += 1;
}
process.stdout.write(`seeds ${firstSeed} to ${seed - 1}, ${requests} requests, ${violations} violations\n`);
process.exitCode = violations === 0 ? 0 : 1;
