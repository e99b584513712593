import { describe } from '@baobabdeck/test-tools';
import { createServiceHarness, effectsOf, jobOf } from './service-harness.js';

const JOB = jobOf('a', [{}], { service: 'other' });
const LATER = jobOf('a', [{}], { service: 'third' });

// Guards against a job that is sent to two services, or to none, when its owner ends in between.
describe('a job that names another service', ({ it }) => {
  it('is recorded before it is sent, and sent once', (t) => {
    const harness = createServiceHarness();
    const kinds = harness.accept(JOB).map(({ kind }) => kind);
    t.true(kinds.indexOf('store-records') < kinds.indexOf('forward-job'));
    t.deepEqual(effectsOf(harness.accept(JOB), 'forward-job'), []);
  });

  it('is sent again by the next owner if its arrival is not recorded, and only then', (t) => {
    const first = createServiceHarness();
    first.accept(JOB);
    const second = createServiceHarness(first.records());
    t.is(effectsOf(second.dispatch({ kind: 'ticked' }), 'forward-job').length, 1);
    second.dispatch({ kind: 'job-forwarded', jobId: 'a' });
    const third = createServiceHarness(second.records());
    t.deepEqual(effectsOf(third.dispatch({ kind: 'ticked' }), 'forward-job'), []);
  });

  it('stays with its service although a later submission names a third one', (t) => {
    const first = createServiceHarness();
    first.accept(JOB);
    const [request] = first.records().filter(({ record }) => record.kind === 'job-accepted');
    const records = first.records().filter((stored) => stored !== request);
    const offset = request?.offset ?? 0;
    const second = createServiceHarness([
      { offset, record: { kind: 'job-accepted', request: LATER } },
      ...records,
    ]);
    const [sent] = effectsOf(second.dispatch({ kind: 'ticked' }), 'forward-job');
    t.is(sent?.request.service, 'other');
  });

  it('is cancelled at its service, also if the cancellation is read first', (t) => {
    const harness = createServiceHarness();
    harness.cancel('a');
    const [cancelled] = effectsOf(harness.accept(JOB), 'forward-cancellation');
    t.is(cancelled?.service, 'other');
  });
});
