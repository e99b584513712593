/** Where log lines go. A process never waits for the reader of its log: what does not fit is dropped and counted. */
import sonicBoom from 'sonic-boom';

// The package is CommonJS: its class is a property of what it exports.
const { SonicBoom } = sonicBoom;

/** Bytes of lines that may wait for their reader. */
const BUFFER_BYTES = 8_388_608;

/** The most that one write hands over, in characters of lines: some readers take no more of a write. */
const WRITE_CHARACTERS = 8_192;

/** The longest that a line waits for others to be written with it: one write costs as much as many lines. */
const GATHER_MILLISECONDS = 20;

/** The longest that an end waits for the reader. */
const FINISH_MILLISECONDS = 500;

/** An open output. */
export interface LogOutput {
  readonly write: (line: string) => void;
  /** Takes no more lines; resolves once all are written, or their reader is given up. */
  readonly finish: () => Promise<void>;
}

/** Opens a file descriptor; `onDropped` hears of each line that is dropped. */
export function openLogOutput(fileDescriptor: number, onDropped: () => void): LogOutput {
  const output = new SonicBoom({
    fd: fileDescriptor,
    sync: false,
    maxLength: BUFFER_BYTES,
    maxWrite: WRITE_CHARACTERS,
  });
  let isOpen = true;
  let gathered = '';
  let timer: NodeJS.Timeout | null = null;

  output.on('drop', (lines: string) => lines.match(/\n/g)?.forEach(onDropped));
  // A reader that has gone leaves nobody to tell.
  output.on('error', onDropped);

  const writeGathered = (): void => {
    if (timer !== null) clearTimeout(timer);
    timer = null;
    const lines = gathered;
    gathered = '';
    if (lines !== '') output.write(lines);
  };

  return {
    write: (line) => {
      if (!isOpen) return;
      if (gathered.length + line.length > WRITE_CHARACTERS) writeGathered();
      gathered += line;
      if (gathered.length >= WRITE_CHARACTERS) writeGathered();
      else timer ??= setTimeout(writeGathered, GATHER_MILLISECONDS);
    },
    finish: () =>
      new Promise((resolve) => {
        isOpen = false;
        writeGathered();
        const limit = setTimeout(resolve, FINISH_MILLISECONDS);
        output.once('finish', () => {
          clearTimeout(limit);
          resolve();
        });
        output.end();
      }),
  };
}
