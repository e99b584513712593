import fs, { closeSync, openSync, readFileSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate as nextEventLoopTurn } from 'node:timers/promises';
import { describe } from '@baobabdeck/test-tools';
import { createEventLog } from './event-log.js';
import { openLogOutput } from './log-output.js';

/** What a busy process writes in 20 s. Two lines of this length fit into the buffer with space left. */
const BUSY_PROCESS_CHARACTERS = 3_000_000;

/** More than the buffer of an output holds. */
const OVERSIZED_CHARACTERS = 16_000_000;

describe('a log output', ({ it }) => {
  it('writes lines in order and ignores lines after it is finished', async (t) => {
    const path = join(tmpdir(), `baobabdeck-log-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('no line should be dropped'));
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

  it('drops no lines of a busy process whose reader is slow', async (t) => {
    const path = join(tmpdir(), `baobabdeck-busy-log-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('no line should be dropped'));
    output.write(`${'a'.repeat(BUSY_PROCESS_CHARACTERS)}\n`);
    output.write(`${'b'.repeat(BUSY_PROCESS_CHARACTERS)}\n`);
    while (statSync(path).size < 2 * (BUSY_PROCESS_CHARACTERS + 1)) await nextEventLoopTurn();
    await output.finish();
    t.is(readFileSync(path, 'utf8').length, 2 * (BUSY_PROCESS_CHARACTERS + 1));
    rmSync(path);
  });

  it('writes a burst of lines in order and completely', async (t) => {
    const path = join(tmpdir(), `baobabdeck-many-lines-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('no line should be dropped'));
    const places = Array.from({ length: 3_000 }, (_, place) => place);
    for (const place of places) {
      output.write(`${place}\n`);
      if (place % 100 === 0) await nextEventLoopTurn();
    }
    await output.finish();
    t.is(readFileSync(path, 'utf8'), places.map((place) => `${place}\n`).join(''));
    rmSync(path);
  });

  it('writes whole lines of at most 8,192 characters per write', async (t) => {
    const path = join(tmpdir(), `baobabdeck-small-writes-${process.pid}`);
    const file = openSync(path, 'w');
    const written: string[] = [];
    const plainWrite = fs.write;
    fs.write = ((fileDescriptor: number, text: unknown, ...rest: readonly unknown[]) => {
      if (fileDescriptor === file) written.push(String(text));
      Reflect.apply(plainWrite, fs, [fileDescriptor, text, ...rest]);
    }) as typeof fs.write;
    const output = openLogOutput(file, () => t.fail('no line should be dropped'));
    const line = `${'a'.repeat(460)}\n`;
    for (let place = 0; place < 500; place += 1) output.write(line);
    while (written.join('').length < 500 * line.length) await nextEventLoopTurn();
    await output.finish();
    fs.write = plainWrite;
    t.is(written.join('').length, 500 * line.length);
    t.true(written.every((text) => text.length <= 8_192 && text.endsWith('\n')));
    rmSync(path);
  });

  it('writes a single line without waiting for another', async (t) => {
    const path = join(tmpdir(), `baobabdeck-lone-line-${process.pid}`);
    const file = openSync(path, 'w');
    const output = openLogOutput(file, () => t.fail('no line should be dropped'));
    output.write('alone\n');
    while (readFileSync(path, 'utf8') === '') await nextEventLoopTurn();
    t.is(readFileSync(path, 'utf8'), 'alone\n');
    await output.finish();
    rmSync(path);
  });

  it('counts every line of a batch that is dropped', (t) => {
    const path = join(tmpdir(), `baobabdeck-dropped-lines-${process.pid}`);
    const file = openSync(path, 'w');
    let dropped = 0;
    const output = openLogOutput(file, () => {
      dropped += 1;
    });
    output.write('a\nb\n'.padEnd(OVERSIZED_CHARACTERS, 'c'));
    t.is(dropped, 2);
    closeSync(file);
    rmSync(path);
  });

  it('writes a line after others were dropped', async (t) => {
    const path = join(tmpdir(), `baobabdeck-later-line-${process.pid}`);
    const file = openSync(path, 'w');
    let dropped = 0;
    const output = openLogOutput(file, () => {
      dropped += 1;
    });
    output.write('a\n'.padStart(OVERSIZED_CHARACTERS, 'a'));
    output.write('later\n');
    await output.finish();
    t.is(dropped, 1);
    t.is(readFileSync(path, 'utf8'), 'later\n');
    rmSync(path);
  });

  it('drops and counts lines that exceed the buffer, and continues', (t) => {
    const path = join(tmpdir(), `baobabdeck-full-log-${process.pid}`);
    const file = openSync(path, 'w');
    let dropped = 0;
    const output = openLogOutput(file, () => {
      dropped += 1;
    });
    // Writes are asynchronous: none completes within this turn of the event loop, as with a stalled reader.
    output.write(`${'a'.repeat(OVERSIZED_CHARACTERS)}\n`);
    output.write('b\n');
    output.write(`${'c'.repeat(OVERSIZED_CHARACTERS)}\n`);
    t.true(dropped > 0);
    closeSync(file);
    rmSync(path);
  });
});
