import { PLAIN_STEP } from '@baobabdeck/scheduling';
import type { SubmittedJob } from '@baobabdeck/scheduler';
import { describe } from '@baobabdeck/test-tools';
import { createWorld } from '../world.js';

const JOB: SubmittedJob = {
  jobId: '0000000000000001',
  specification: 'work',
  steps: [{ ...PLAIN_STEP, estimatedMilliseconds: 300 }],
  repetition: null,
};

const LEAD_MILLISECONDS = 6_000;

/** The status of a job is kept for 120 s after its end. */
const FORGOTTEN_MILLISECONDS = 130_000;
const TAKEOVER_MILLISECONDS = 10_000;

describe('a job whose status is kept no longer', ({ it }) => {
  it('does not run again under the next owner', async (t) => {
    const { time, nodes, operator, plans, referee } = createWorld(1, {
      services: 1,
      hostsPerService: 2,
      standbyHosts: 0,
      nodes: 1,
    });
    await time.runUntil(LEAD_MILLISECONDS);
    const [queue] = operator.configuration.queues;
    const [node] = nodes;
    const callers = node?.running()?.callers;
    if (queue === undefined || node === undefined || callers === undefined) {
      throw new Error('Nobody takes jobs');
    }
    const { service, maximumFailedRuns } = queue;
    plans.set(JOB.jobId, {
      job: JOB,
      service,
      maximumFailedRuns,
      handedInAt: time.now(),
      objectiveMilliseconds: 1_000,
      taskPlan: () => ({ runMilliseconds: 300, failingRuns: 0 }),
      crashDelayMilliseconds: () => null,
    });
    const answer = callers.submit(queue, JOB, 1_000, null);
    await time.runUntil(time.now() + FORGOTTEN_MILLISECONDS);
    t.is((await answer).kind, 'accepted');
    t.is(referee.counts().runs, 1);
    node.kill();
    node.start();
    await time.runUntil(time.now() + TAKEOVER_MILLISECONDS);
    t.is(referee.counts().runs, 1);
  });
});
