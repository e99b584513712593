import { describe } from '@baobabdeck/test-tools';
import { COUNTING_PLAY, playSchedule, SMALL_PLAY, UNEVEN_PLAY } from '../random-play.js';

/** A play that broke a rule once. */
interface KeptPlay {
  readonly seed: number;
  readonly broke: string;
}

const KEPT: readonly KeptPlay[] = [
  { seed: 20, broke: 'when an inherited run that was never there kept its gang from starting' },
  { seed: 31, broke: 'when a gang waited for a stop that had never been sent' },
  { seed: 50, broke: 'when a late order reached the next life of a worker' },
  { seed: 454, broke: 'when the emulator started one life of a process twice' },
  { seed: 1441, broke: 'when a late order reached the next life of a worker, another way' },
  { seed: 1780, broke: 'when a young life of a worker was taken for the one before' },
  { seed: 2144, broke: 'when a task of a young life was started elsewhere too' },
  { seed: 2363, broke: 'when an owner learned of a cancelling by its own reads only' },
  { seed: 2466, broke: 'when a run was stopped without end on a worker that was gone' },
  { seed: 20_033, broke: 'when a new owner was told of workers from a look before the store was down' },
  { seed: 20_196, broke: 'when a process that had been frozen gave an order on a host again' },
];

const FIRST_FRESH_SEED = 100_001;
const FRESH_PLAYS = 12;
const UNEVEN_PLAYS = 6;
/** Seeds of plays that broke a rule once, when a placed job counted as started. */
const COUNTING_SEEDS = [100_014, 100_026, 100_027, 100_029, 100_030];

describe('schedulers, workers and hosts among random troubles', ({ describe: within, it }) => {
  within('that broke a rule once', ({ itSerially: keeps }) => {
    KEPT.forEach(({ seed, broke }) => {
      keeps(`seed ${seed} broke one ${broke}`, async (t) => {
        const { violations, errors } = await playSchedule({ ...SMALL_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
      });
    });
  });

  within('of other seeds', ({ itSerially: plays }) => {
    Array.from({ length: FRESH_PLAYS }, (_, index) => FIRST_FRESH_SEED + index).forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const { violations, errors, completed, runs } = await playSchedule({ ...SMALL_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0 && runs > completed);
      });
    });
  });

  within('with callers who count pending jobs', ({ itSerially: plays }) => {
    COUNTING_SEEDS.forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const { violations, errors } = await playSchedule({ ...COUNTING_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
      });
    });
  });

  within('of unequal strength', ({ itSerially: plays }) => {
    Array.from({ length: UNEVEN_PLAYS }, (_, index) => FIRST_FRESH_SEED + index).forEach((seed) => {
      plays(`break no rule with seed ${seed}`, async (t) => {
        const { violations, errors, completed, runs } = await playSchedule({ ...UNEVEN_PLAY, seed });
        t.deepEqual(violations, []);
        t.deepEqual(errors, []);
        t.true(completed > 0 && runs > completed);
      });
    });
  });

  it('tell what they know of themselves, of jobs, workers, hosts and pools', async (t) => {
    const { world } = await playSchedule({ ...SMALL_PLAY, seed: 7 });
    const nodes = world.nodes.flatMap((node) => node.running() ?? []);
    const services = nodes.flatMap((node) => node.status().services.map(({ service }) => service));
    t.deepEqual([...services].sort(), ['service-0', 'service-1']);
    t.is(nodes.filter((node) => node.status().fleet !== null).length, 1);
    const known = (kind: string, name: string): readonly unknown[] =>
      nodes.map((node) => node.explain(kind, name)).filter((explanation) => explanation !== null);
    const [jobId = ''] = world.plans.keys();
    t.is(known('job', jobId).length, 1);
    t.is(known('host', 'host-0').length, 1);
    t.is(known('pool', 'service-0').length, 1);
    const worker = [...world.fleet.hosts.values()].flatMap((host) => host.worker?.listing() ?? [])[0];
    t.is(known('worker', worker?.workerId ?? '').length, 1);
    t.deepEqual(known('job', 'nobody'), []);
    t.deepEqual(known('weather', 'today'), []);
  });

  it('play alike from the same seed', async (t) => {
    const once = await playSchedule({ ...SMALL_PLAY, seed: 7 });
    const again = await playSchedule({ ...SMALL_PLAY, seed: 7 });
    t.deepEqual(again.world.log, once.world.log);
  });
});
