/** Prints results for persons or, with `--json`, for programs. */
import type { Writable } from 'node:stream';
import type { Failure } from '@baobabdeck/errors';
import { describeFault, type SettingsFault } from '@baobabdeck/settings';

/** Exit codes of every command. */
export const EXIT_DONE = 0;
export const EXIT_REFUSED = 1;
export const EXIT_BAD_INPUT = 2;

/** Streams of a command. */
export interface Output {
  readonly stdout: Writable;
  readonly stderr: Writable;
  readonly json: boolean;
}

/** Prints data as JSON, or its lines. */
export function printResult(output: Output, data: unknown, lines: readonly string[]): void {
  output.stdout.write(
    output.json ? `${JSON.stringify(data, null, 2)}\n` : lines.map((line) => `${line}\n`).join(''),
  );
}

/** Prints a failure and gives the exit code for it. */
export function printFailure(output: Output, failure: Failure): number {
  if (output.json) output.stdout.write(`${JSON.stringify({ failure }, null, 2)}\n`);
  output.stderr.write(`refused: [${failure.code}] ${failure.detail}\n`);
  return EXIT_REFUSED;
}

/** Prints every fault of settings and gives the exit code for them. */
export function printFaults(output: Output, faults: readonly SettingsFault[]): number {
  if (output.json) output.stdout.write(`${JSON.stringify({ faults }, null, 2)}\n`);
  faults.forEach((fault) => output.stderr.write(`${describeFault(fault)}\n`));
  output.stderr.write(
    `${faults.length} ${faults.length === 1 ? 'fault' : 'faults'} found; nothing was sent\n`,
  );
  return EXIT_BAD_INPUT;
}

/** Rows with aligned columns. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  return [head, ...rows].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
