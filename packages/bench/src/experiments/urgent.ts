/** Urgent jobs on a full pool: the time until they start, by preempting with a checkpoint. */
import { createRandom } from '@baobabdeck/emulator';
import { figure, type Experiment, type ExperimentOptions, type PolicyResult } from '../experiment.js';
import { quantilesOf } from '../quantiles.js';
import { startEmulatedSystem } from '../run-system.js';
import { USERS, type UserFleet } from '../users.js';

const FILLING_JOBS_PER_HOST = 2;
const CORES = 8;
const FILL_MILLISECONDS = 15_000;
const URGENT_JOBS = 20;
const URGENT_GAP_MILLISECONDS = 10_000;
const BOUND_SECONDS = 4.4;
const URGENT_RUN_MILLISECONDS = 5_000;
const FILLING_RUN_MILLISECONDS = 3_600_000;

function runUser(user: UserFleet, { seed }: ExperimentOptions): PolicyResult {
  const [pool] = user.pools;
  if (pool === undefined) return { user: user.user, policy: 'system', figures: [] };
  const emulator = startEmulatedSystem(seed, user.gateways, [pool], {
    jobMilliseconds: (job) => (job.urgent ? URGENT_RUN_MILLISECONDS : FILLING_RUN_MILLISECONDS),
  });
  const submit = (jobId: string, urgent: boolean): void =>
    emulator.command({
      kind: 'job-submitted',
      job: {
        jobId,
        team: 'everyone',
        pool: pool.name,
        cores: CORES,
        accelerators: 0,
        memoryGigabytes: 1,
        urgent,
        repeatable: true,
      },
    });
  Array.from({ length: pool.hosts * FILLING_JOBS_PER_HOST }, (_, index) => submit(`filling-${index}`, false));
  emulator.schedule.runUntil(emulator.schedule.now() + FILL_MILLISECONDS);
  const random = createRandom(seed);
  const submitted = new Map<string, number>();
  for (let index = 0; index < URGENT_JOBS; index += 1) {
    const at = index * URGENT_GAP_MILLISECONDS + random.below(URGENT_GAP_MILLISECONDS / 2);
    submitted.set(`urgent-${index}`, emulator.schedule.now() + at);
    emulator.schedule.after(at, () => submit(`urgent-${index}`, true));
  }
  emulator.schedule.runUntil(
    emulator.schedule.now() + URGENT_JOBS * URGENT_GAP_MILLISECONDS + FILL_MILLISECONDS,
  );
  const waits = [...submitted].map(
    ([jobId, at]) => (emulator.tasks.firstStarts.get(jobId) ?? Number.MAX_SAFE_INTEGER) - at,
  );
  const started = waits.filter((wait) => wait < Number.MAX_SAFE_INTEGER / 2);
  const seconds = quantilesOf(started);
  return {
    user: user.user,
    policy: 'system',
    figures: [
      figure('urgent start p50', seconds.p50 / 1_000, 's', BOUND_SECONDS),
      figure('urgent start longest', Math.max(...started) / 1_000, 's', BOUND_SECONDS),
      figure('urgent jobs started', started.length, 'jobs', URGENT_JOBS),
    ],
  };
}

/** `npm run bench -- urgent`. */
export const urgent: Experiment = {
  name: 'urgent',
  description: 'urgent jobs on a pool that other jobs fill',
  policies: ['system'],
  run: async (options) => USERS.map((user) => runUser(user, options)),
};
