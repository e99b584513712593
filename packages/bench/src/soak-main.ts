/** `npm run soak -- [--fleet [--size grown|tight [--no-cpu]]] --minutes N [--seed S]`: random schedules for as long as asked. */
import { parseArgs } from 'node:util';
import { createRandom, drawActions, runSchedule } from '@baobabdeck/emulator';

const ACTIONS_PER_RUN = 30;
const MILLISECONDS_PER_MINUTE = 60_000;

const { values } = parseArgs({
  options: {
    /** Plays schedulers with workers and hosts; otherwise gateways with targets. */
    fleet: { type: 'boolean', default: false },
    /**
     * Of the fleet: `small` with every kind of trouble, `tight` with small limits, wide jobs and foreign entries besides, or
     * `grown` with bursts on bounded processors.
     */
    size: { type: 'string', default: 'small' },
    /** Lets what processes do take no time. */
    'no-cpu': { type: 'boolean', default: false },
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
    /** Ends after so many seeds, whatever the time. */
    seeds: { type: 'string' },
  },
});
const minutes = Number(values.minutes);
const firstSeed = Number(values.seed);
const mostSeeds = values.seeds === undefined ? Infinity : Number(values.seeds);
if (
  !(minutes > 0) ||
  !Number.isInteger(firstSeed) ||
  !(mostSeeds > 0) ||
  !['small', 'tight', 'grown'].includes(values.size)
) {
  process.stderr.write(
    'soak: [2009] expected --minutes and --seeds above 0, a whole --seed and --size small, tight or grown\n',
  );
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

const GROWN_TURNS = 2;

/** Loads the emulator, which counts the processes' work only if that is asked for beforehand. */
async function loadFleetPlay(): Promise<(seed: number) => Promise<SeedReport>> {
  if (values.size === 'grown') await import('@baobabdeck/fleet-emulator/count-from-now-on');
  const { GROWN_SIZE, playSchedule, playTurns, SMALL_PLAY, TIGHT_LIMITS_PLAY } =
    await import('@baobabdeck/fleet-emulator');
  const schedule = values.size === 'tight' ? TIGHT_LIMITS_PLAY : SMALL_PLAY;
  const { costs, ...free } = GROWN_SIZE;
  const grown = values['no-cpu'] || costs === undefined ? free : { ...free, costs };
  return async (seed) => {
    const { violations, errors, accepted, world } =
      values.size === 'grown'
        ? await playTurns({ seed, size: grown, turns: GROWN_TURNS })
        : await playSchedule({ ...schedule, seed });
    if (values.size === 'grown') {
      process.stdout.write(`seed ${seed}: ${world.referee.servedShare().toFixed(3)} served\n`);
    }
    const broken = violations.map(({ rule, at, detail }) => `${rule} at ${at} ms: ${detail}`);
    return { faults: [...broken, ...errors], requests: accepted };
  };
}

const play = values.fleet ? await loadFleetPlay() : playGateways;
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
