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
  failureReason: null,
};

describe('service records', ({ it }) => {
  it('decodes what was encoded', (t) => {
    const record = { kind: 'job-progress' as const, jobId: 'a', progress: PROGRESS };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', record: { offset: 3, record } });
  });

  it('keeps the reason of a failed job, and reads none from an earlier record', (t) => {
    const progress = { ...PROGRESS, phase: 'failed' as const, failureReason: '2 runs failed' };
    const record = { kind: 'job-progress' as const, jobId: 'a', progress };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', record: { offset: 3, record } });
    const value = new Encoder({ useRecords: false }).encode(['failed', 'quotes', [], 1, [], true]);
    t.deepEqual(decodeRecord({ ...keyed, value, offset: 3 }), {
      kind: 'record',
      record: { offset: 3, record: { ...record, progress: { ...progress, failureReason: null } } },
    });
  });

  it('keeps the model of interference, and reads none of another version', (t) => {
    const baseline = {
      image: 'shop',
      isServing: true,
      mean: -0.7,
      variance: 0.002,
      noise: 0.01,
      samples: 40,
    };
    const pair = {
      slowed: 'shop',
      beside: 'batch',
      effect: 0.4,
      variance: 0.003,
      samples: 20,
      firstSample: 5,
    };
    const model = {
      recordedAt: new Date('2026-01-01T00:00:00Z'),
      baselines: [{ ...baseline, ageMilliseconds: 100 }],
      pairs: [{ ...pair, isHarmful: true, ageMilliseconds: 200 }],
    };
    const record = { kind: 'interference-learned' as const, model };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', record: { offset: 3, record } });
    const value = new Encoder({ useRecords: false }).encode({ version: 2 });
    t.is(decodeRecord({ ...keyed, value, offset: 3 }).kind, 'unreadable');
  });

  it('keeps the crashes and the quarantine of a task', (t) => {
    const task = {
      index: 2,
      isDone: false,
      lastRun: 3,
      failedRuns: 1,
      workerCrashes: 2,
      isQuarantined: true,
      checkpoint: 'c',
      runs: [{ run: 3, workerId: 'w1', incarnation: 4 }],
    };
    const sound = { ...task, index: 3, workerCrashes: 0, isQuarantined: false };
    const progress = { ...PROGRESS, occurrences: [{ occurrence: 1, steps: [[task, sound]] }] };
    const record = { kind: 'job-progress' as const, jobId: 'a', progress };
    const [keyed] = encodeRecord(record);
    if (keyed === undefined) throw new Error('Expected a keyed record');
    t.deepEqual(decodeRecord({ ...keyed, offset: 3 }), { kind: 'record', record: { offset: 3, record } });
  });

  it('takes a task of an earlier record for one under which no worker has crashed', (t) => {
    const rows = [[1, [[[0, false, 2, 1, '', [[2, 'w1', 5]]]]]]];
    const value = new Encoder({ useRecords: false }).encode(['active', 'quotes', [], 0, rows, true]);
    const decoded = decodeRecord({ key: 'progress/a', value, offset: 3 });
    if (decoded.kind !== 'record' || decoded.record.record.kind !== 'job-progress') {
      t.fail('Expected a record of progress');
      return;
    }
    t.deepEqual(decoded.record.record.progress.occurrences[0]?.steps[0], [
      {
        index: 0,
        isDone: false,
        lastRun: 2,
        failedRuns: 1,
        workerCrashes: 0,
        isQuarantined: false,
        checkpoint: '',
        runs: [{ run: 2, workerId: 'w1', incarnation: 5 }],
      },
    ]);
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
