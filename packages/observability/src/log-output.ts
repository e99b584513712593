/** Where log lines go. A process never waits for the reader of its log: what does not fit is dropped and counted. */
import sonicBoom from 'sonic-boom';

// The package is CommonJS: its class is a property of what it exports.
const { SonicBoom } = sonicBoom;

/** Bytes of lines that may wait for their reader. */
const BUFFER_BYTES = 8_388_608;

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
  const output = new SonicBoom({ fd: fileDescriptor, sync: false, maxLength: BUFFER_BYTES });
  let isOpen = true;
  output.on('drop', onDropped);
  // A reader that has gone leaves nobody to tell.
  output.on('error', onDropped);
  return {
    write: (line) => {
      if (isOpen) output.write(line);
    },
    finish: () =>
      new Promise((resolve) => {
        isOpen = false;
        const timer = setTimeout(resolve, FINISH_MILLISECONDS);
        output.once('finish', () => {
          clearTimeout(timer);
          resolve();
        });
        output.end();
      }),
  };
}
