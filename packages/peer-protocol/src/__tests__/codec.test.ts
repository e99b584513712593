import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import { createFrameReader, encodeFrame } from '../codec.js';
import { readHello } from '../hello.js';
import { isPeerMessage } from '../message-shape.js';

describe('frames', ({ it }) => {
  it('come out as they went in, however they are cut', (t) => {
    const content = fc.array(
      fc.jsonValue({ maxDepth: 2 }).map((value) => value),
      { maxLength: 5 },
    );
    const property = fc.property(
      content,
      fc.array(fc.nat({ max: 30 }), { maxLength: 20 }),
      (contents, cuts) => {
        const bytes = Buffer.concat(contents.map((one) => encodeFrame(one)));
        const read = createFrameReader();
        const got: unknown[] = [];
        let position = 0;
        for (const cut of [...cuts, bytes.length]) {
          const decoded = read(bytes.subarray(position, position + cut));
          t.is(decoded.fault, null);
          got.push(...decoded.contents);
          position += cut;
        }
        t.deepEqual(JSON.parse(JSON.stringify(got)), JSON.parse(JSON.stringify(contents)));
      },
    );
    t.notThrows(() => fc.assert(property, { seed: 6, numRuns: 300 }));
  });

  it('keep points in time to the millisecond', (t) => {
    const property = fc.property(fc.date({ noInvalidDate: true }), (instant) => {
      const [back] = createFrameReader()(encodeFrame({ instant })).contents as readonly {
        readonly instant: Date;
      }[];
      return back?.instant.getTime() === instant.getTime();
    });
    t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 500 }));
  });

  it('that are too long or garbage end the connection and throw nothing', (t) => {
    t.is(createFrameReader(10)(Buffer.from([0, 0, 0, 11])).fault, 'too-long');
    const property = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      const { contents } = createFrameReader()(Buffer.from(bytes));
      contents.forEach((content) => {
        readHello(content);
        isPeerMessage(content);
      });
    });
    t.notThrows(() => fc.assert(property, { seed: 8, numRuns: 3_000 }));
  });
});

describe('messages', ({ it }) => {
  it('of another shape are none', (t) => {
    t.true(isPeerMessage({ kind: 'slot-cancelled', pool: 'p', slotRequestId: 's' }));
    t.false(isPeerMessage({ kind: 'slot-cancelled', pool: 'p' }));
    t.false(isPeerMessage({ kind: 'toString' }));
    t.false(isPeerMessage({ kind: 'heartbeat', sequence: Number.NaN }));
    t.is(typeof readHello({ version: 2, processId: 'p', incarnation: 'i' }), 'string');
  });
});
