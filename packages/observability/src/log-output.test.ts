import fs, { closeSync, openSync, readFileSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe } from '@baobabdeck/test-tools';
import { createEventLog } from './event-log.js';
import { openLogOutput } from './log-output.js';

/** Two of the size fit with room to spare: what a busy process writes in 20 s. */
const MUCH = 3_000_000;

const MORE_THAN_FITS = 16_000_000;

describe('the output of a log', ({ it }) => {
  it('writes its lines in their order', async (t) => {
    const path = join(tmpdir(), `baobabdeck-log-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('nothing is to be dropped'));
    const writeEvent = createEventLog({ program: 'test', processId: 'p', level: 'info', output });
    writeEvent('processStarted', { place: 1 });
    writeEvent('processStopped', { place: 2 });
    await output.finish();
    writeEvent('processStopped', { place: 3 });
    const lines = readFileSync(path, 'utf8').trim().split('\n');
    t.deepEqual(
      lines.map((line) => (JSON.parse(line) as { place: number }).place),
      [1, 2],
    );
    rmSync(path);
  });

  it('keeps all lines of a busy process whose reader is slow', async (t) => {
    const path = join(tmpdir(), `baobabdeck-busy-log-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('nothing is to be dropped'));
    output.write(`${'a'.repeat(MUCH)}\n`);
    output.write(`${'b'.repeat(MUCH)}\n`);
    while (statSync(path).size < 2 * (MUCH + 1)) await nextTurn();
    await output.finish();
    t.is(readFileSync(path, 'utf8').length, 2 * (MUCH + 1));
    rmSync(path);
  });

  it('writes lines that come together in their order, with none left out', async (t) => {
    const path = join(tmpdir(), `baobabdeck-many-lines-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('nothing is to be dropped'));
    const places = Array.from({ length: 3_000 }, (_, place) => place);
    for (const place of places) {
      output.write(`${place}\n`);
      if (place % 100 === 0) await nextTurn();
    }
    await output.finish();
    t.is(readFileSync(path, 'utf8'), places.map((place) => `${place}\n`).join(''));
    rmSync(path);
  });

  it('hands over whole lines, and no more at a write than a reader takes', async (t) => {
    const path = join(tmpdir(), `baobabdeck-small-writes-${process.pid}`);
    const file = openSync(path, 'w');
    const written: string[] = [];
    const plainWrite = fs.write;
    fs.write = ((fileDescriptor: number, text: unknown, ...rest: readonly unknown[]) => {
      if (fileDescriptor === file) written.push(String(text));
      Reflect.apply(plainWrite, fs, [fileDescriptor, text, ...rest]);
    }) as typeof fs.write;
    const output = openLogOutput(file, () => t.fail('nothing is to be dropped'));
    const line = `${'a'.repeat(460)}\n`;
    for (let place = 0; place < 500; place += 1) output.write(line);
    while (written.join('').length < 500 * line.length) await nextTurn();
    await output.finish();
    fs.write = plainWrite;
    t.is(written.join('').length, 500 * line.length);
    t.true(written.every((text) => text.length <= 8_192 && text.endsWith('\n')));
    rmSync(path);
  });

  it('writes a line that no other follows', async (t) => {
    const path = join(tmpdir(), `baobabdeck-lone-line-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('nothing is to be dropped'));
    output.write('alone\n');
    while (readFileSync(path, 'utf8') === '') await nextTurn();
    t.is(readFileSync(path, 'utf8'), 'alone\n');
    await output.finish();
    rmSync(path);
  });

  it('counts each line of those that are dropped together', (t) => {
    const path = join(tmpdir(), `baobabdeck-dropped-lines-${process.pid}`);
    const file = openSync(path, 'w');
    let dropped = 0;
    const output = openLogOutput(file, () => {
      dropped += 1;
    });
    output.write('a\nb\n'.padEnd(MORE_THAN_FITS, 'c'));
    t.is(dropped, 2);
    closeSync(file);
    rmSync(path);
  });

  it('drops and counts what its reader does not take, and goes on', (t) => {
    const path = join(tmpdir(), `baobabdeck-full-log-${process.pid}`);
    const file = openSync(path, 'w');
    let dropped = 0;
    const output = openLogOutput(file, () => {
      dropped += 1;
    });
    // Nothing is written within one turn of the loop, as if the reader stood still.
    output.write(`${'a'.repeat(MORE_THAN_FITS)}\n`);
    output.write('b\n');
    output.write(`${'c'.repeat(MORE_THAN_FITS)}\n`);
    t.true(dropped > 0);
    closeSync(file);
    rmSync(path);
  });
});
