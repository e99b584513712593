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

describe('service records', ({ it }) => {
  it('decodes what was encoded', (t) => {
    const record = { kind: 'job-progress' as const, jobId: 'a', progress: PROGRESS };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', record: { offset: 3, record } });
  });

  it('takes a job of an earlier record for started once an occurrence of it is done', (t) => {
    const value = new Encoder({ useRecords: false }).encode(['active', 'quotes', [], 1, []]);
    const decoded = decodeRecord({ key: 'progress/a', value, offset: 3 });
    t.deepEqual(decoded, {
      kind: 'record',
      record: { offset: 3, record: { kind: 'job-progress', jobId: 'a', progress: PROGRESS } },
    });
  });

  it('reports an unknown key and malformed content as unreadable', (t) => {
    const value = Uint8Array.from([0xff, 0xff, 0xff]);
    t.deepEqual(decodeRecord({ key: 'progress/a', value, offset: 4 }), {
      kind: 'unreadable',
      offset: 4,
      key: 'progress/a',
    });
    const known = new Encoder().encode(1);
    t.is(decodeRecord({ key: 'other/a', value: known, offset: 5 }).kind, 'unreadable');
  });
});
