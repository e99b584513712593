import { describe } from '@baobabdeck/test-tools';
import { decodeFleetRecord, encodeFleetRecord } from '../fleet/fleet-codec.js';

const RECORDED_AT = new Date('2026-01-01T00:00:00Z');

describe('fleet records', ({ it }) => {
  it('decodes what was encoded', (t) => {
    const record = { kind: 'host-settled' as const, hostId: 'h1', recordedAt: RECORDED_AT };
    t.deepEqual(decodeFleetRecord({ ...encodeFleetRecord(record), offset: 3 }), { kind: 'record', record });
  });

  it('reports unreadable content instead of throwing, so that a claim goes on', (t) => {
    const key = 'host/h1';
    const value = Uint8Array.from([0xff, 0xff, 0xff]);
    t.deepEqual(decodeFleetRecord({ key, value, offset: 7 }), { kind: 'unreadable', offset: 7, key });
  });

  it('ignores claims and deleted keys', (t) => {
    t.deepEqual(decodeFleetRecord({ key: 'owner', value: Uint8Array.from([1]), offset: 1 }), {
      kind: 'ignored',
    });
    t.deepEqual(decodeFleetRecord({ key: 'host/h1', value: null, offset: 2 }), { kind: 'ignored' });
  });
});
