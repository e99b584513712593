/** Where log lines go. A process never waits for the reader of its log: what does not fit is dropped and counted. */
import sonicBoom from 'sonic-boom';

// The package is CommonJS: its class is a property of what it exports.
const { SonicBoom } = sonicBoom;

/** Bytes of lines that may wait for their reader. */
const BUFFER_BYTES = 1_048_576;

/** An open output. */
export interface LogOutput {
  readonly write: (line: string) => void;
  /** Writes what waits, unless the reader is behind: then it is given up. */
  readonly finish: () => void;
}

/** Opens a file descriptor; `onDropped` hears of each line that is dropped. */
export function openLogOutput(fileDescriptor: number, onDropped: () => void): LogOutput {
  const output = new SonicBoom({ fd: fileDescriptor, sync: false, maxLength: BUFFER_BYTES });
  let isBehind = false;
  output.on('drop', () => {
    isBehind = true;
    onDropped();
  });
  output.on('drain', () => {
    isBehind = false;
  });
  // A reader that has gone leaves nobody to tell.
  output.on('error', onDropped);
  return {
    write: (line) => {
      output.write(line);
    },
    finish: () => {
      if (!isBehind) output.flushSync();
    },
  };
}
