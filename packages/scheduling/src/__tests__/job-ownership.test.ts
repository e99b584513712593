import { describe } from '@baobabdeck/test-tools';
import { isJobOfOtherWorkspace, selectJobStatus } from '../service/selectors.js';
import { QUOTES, createServiceHarness, jobOf } from './service-harness.js';

describe('the status of a job', ({ it }) => {
  const harness = createServiceHarness();
  harness.accept(jobOf('of-red', [{}], { workspace: 'red' }), jobOf('of-nobody', [{}]));
  const statusOf = (jobId: string, workspace: string | null) =>
    selectJobStatus(harness.state(), QUOTES, jobId, workspace);

  it('is shown to the workspace of the job, and to no other', (t) => {
    t.is(statusOf('of-red', 'red'), 'queued');
    t.is(statusOf('of-red', 'blue'), null);
    t.true(isJobOfOtherWorkspace(harness.state(), 'of-red', 'blue'));
  });

  it('is shown to callers whose call needs no key', (t) => {
    t.is(statusOf('of-red', null), 'queued');
  });

  it('of a job that was submitted without a key is shown to every workspace', (t) => {
    t.is(statusOf('of-nobody', 'blue'), 'queued');
  });

  it('does not distinguish an unknown job', (t) => {
    t.is(statusOf('unknown', 'red'), null);
    t.false(isJobOfOtherWorkspace(harness.state(), 'unknown', 'red'));
  });
});
