import { Encoder } from 'cbor-x';
import { describe } from '@baobabdeck/test-tools';
import { decodeRecord, encodeRecord } from '../owner/record-codec.js';

const PROGRESS = {
  phase: 'active' as const,
  queue: 'quotes',
  occurrencesDone: [],
  occurrencesDoneBelow: 1,
  occurrences: [],
  hasStarted: true,
};

describe('records of the progress of a job', ({ it }) => {
  it('are decoded as they were encoded', (t) => {
    const record = { kind: 'job-progress' as const, jobId: 'a', progress: PROGRESS };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', stored: { offset: 3, record } });
  });

  it('of an earlier version, between two occurrences, show the job as started', (t) => {
    const value = new Encoder({ useRecords: false }).encode(['active', 'quotes', [], 1, []]);
    const decoded = decodeRecord({ key: 'progress/a', value, offset: 3 });
    t.deepEqual(decoded, {
      kind: 'record',
      stored: { offset: 3, record: { kind: 'job-progress', jobId: 'a', progress: PROGRESS } },
    });
  });
});
