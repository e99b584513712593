import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import type { StoredRecord } from '@baobabdeck/types';
import { readRecord } from '../record-schema.js';
import { createSnapshotCollector, splitSnapshot } from '../snapshot-parts.js';

const ENVELOPE = { id: 'i', issuer: 'p', issuedAt: '2026-01-01T00:00:00.000Z', decidedAtOffset: 0 };

function store(offset: number, body: ReturnType<typeof splitSnapshot>[number]): StoredRecord {
  return {
    offset,
    record: { id: `${offset}`, issuer: 'p', issuedAt: new Date(0), decidedAtOffset: 0, body },
  };
}

describe('records', ({ it }) => {
  it('are read with their times', (t) => {
    const record = readRecord({ ...ENVELOPE, body: { kind: 'wave-resumed', waveId: 'w' } });
    t.is(record?.issuedAt.getTime(), Date.UTC(2026, 0, 1));
  });

  it('of a newer or damaged kind are passed over', (t) => {
    t.is(readRecord({ ...ENVELOPE, body: { kind: 'invented-later', anything: 1 } }), null);
    t.is(readRecord({ ...ENVELOPE, body: { kind: 'wave-resumed' } }), null);
    const property = fc.property(fc.jsonValue(), (data) => readRecord(data) === null);
    t.notThrows(() => fc.assert(property, { seed: 9, numRuns: 1_000 }));
  });
});

describe('snapshots', ({ it }) => {
  it('come back whole from their parts, the newest first', (t) => {
    const collector = createSnapshotCollector();
    const old = splitSnapshot('old', 4, 'x'.repeat(450_000));
    const fresh = splitSnapshot('fresh', 9, 'y'.repeat(450_000));
    t.is(old.length, 3);
    [...old, ...fresh].forEach((part, offset) => collector.add(store(offset, part)));
    t.deepEqual(collector.newest(), { throughOffset: 9, text: 'y'.repeat(450_000) });
  });

  it('that miss a part or are damaged do not count', (t) => {
    const collector = createSnapshotCollector();
    const [first, ...rest] = splitSnapshot('cut', 9, 'z'.repeat(450_000));
    rest.forEach((part, offset) => collector.add(store(offset, part)));
    t.is(collector.newest(), null);
    if (first !== undefined) collector.add(store(9, { ...first, data: `?${first.data.slice(1)}` }));
    t.is(collector.newest(), null);
  });
});
