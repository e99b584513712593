/** Buffered log output. A process never waits for the reader of its log: lines that exceed the buffer are dropped and counted. */
import sonicBoom from 'sonic-boom';

// The package is CommonJS, so its class is a property of the default import.
const { SonicBoom } = sonicBoom;

/** Bytes of lines that are buffered while the reader is slow; further lines are dropped. */
const BUFFER_BYTES = 8_388_608;

/** Maximum characters of lines in one write: some readers accept no more per write. */
const WRITE_CHARACTERS = 8_192;

/** Maximum time that a line waits to be written in a batch with others: one write costs as much as many lines. */
const BATCH_DELAY_MILLISECONDS = 20;

/** Maximum time that `finish` waits for the reader. */
const FINISH_TIMEOUT_MILLISECONDS = 500;

/** An open log output. */
export interface LogOutput {
  readonly write: (line: string) => void;
  /** Ignores further lines and resolves once all earlier ones are written, or after a timeout. */
  readonly finish: () => Promise<void>;
}

/** Opens an output on a file descriptor. Calls `onDropped` once for each dropped line. */
export function openLogOutput(fileDescriptor: number, onDropped: () => void): LogOutput {
  const output = new SonicBoom({
    fd: fileDescriptor,
    sync: false,
    maxLength: BUFFER_BYTES,
    maxWrite: WRITE_CHARACTERS,
  });
  let isOpen = true;
  let batch = '';
  let timer: NodeJS.Timeout | null = null;

  output.on('drop', (lines: string) => lines.match(/\n/g)?.forEach(onDropped));
  // The reader has closed its end: the failure cannot be logged, so it is only counted.
  output.on('error', onDropped);

  const writeBatch = (): void => {
    if (timer !== null) clearTimeout(timer);
    timer = null;
    const lines = batch;
    batch = '';
    if (lines !== '') output.write(lines);
  };

  return {
    write: (line) => {
      if (!isOpen) return;
      if (batch.length + line.length > WRITE_CHARACTERS) writeBatch();
      batch += line;
      if (batch.length >= WRITE_CHARACTERS) writeBatch();
      else timer ??= setTimeout(writeBatch, BATCH_DELAY_MILLISECONDS);
    },
    finish: () =>
      new Promise((resolve) => {
        isOpen = false;
        writeBatch();
        const limit = setTimeout(resolve, FINISH_TIMEOUT_MILLISECONDS);
        output.once('finish', () => {
          clearTimeout(limit);
          resolve();
        });
        output.end();
      }),
  };
}
