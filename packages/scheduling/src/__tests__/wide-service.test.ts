import { describe } from '@baobabdeck/test-tools';
import type { ServiceRecord } from '../model/records.js';
import { createWideService } from './wide-service.js';

const TASKS = 2_000;
/** 50 workers of 16 cores run 800 tasks at a time. */
const STEPS = 3;

function countSteps(onStored: (records: readonly ServiceRecord[]) => void): number {
  const service = createWideService(TASKS, onStored);
  let steps = 1;
  while (service.step()) steps += 1;
  return steps;
}

describe('a service with one wide job', ({ it }) => {
  it('runs as many tasks at a time as its workers hold, until the job has ended', (t) => {
    t.is(
      countSteps(() => undefined),
      STEPS,
    );
  });

  it('passes on the records of the job, of which the last ones say that it is completed', (t) => {
    let phase = '';
    countSteps((records) =>
      records.forEach((record) => {
        if (record.kind === 'job-progress') ({ phase } = record.progress);
      }),
    );
    t.is(phase, 'completed');
  });
});
