/** Runs a program: loads its settings, starts it and stops it gracefully on a signal. */
import { readFile } from 'node:fs/promises';
import { createEventLog, createMetrics, type Metrics, type WriteEvent } from '@baobabdeck/observability';
import {
  checkProcessSettings,
  describeFault,
  type ProcessSettings,
  type SettingsText,
} from '@baobabdeck/settings';
import { portFailure } from './ports.js';

/** Exit codes of the programs. */
export const EXIT_DONE = 0;
export const EXIT_FAILED = 1;
export const EXIT_BAD_INPUT = 2;

/** Settings and outputs that a program is started with. */
export interface ProgramParts {
  readonly settings: ProcessSettings;
  readonly metrics: Metrics;
  readonly writeEvent: WriteEvent;
}

/** A running program; `stop` finishes work in progress. */
export interface RunningProgram {
  readonly stop: () => Promise<void>;
}

async function readSettingsText(file: string | undefined): Promise<SettingsText | null> {
  return file === undefined ? null : { file, text: await readFile(file, 'utf8') };
}

async function loadSettings(program: string, argument: string | undefined): Promise<ProcessSettings | null> {
  try {
    const checked = checkProcessSettings(await readSettingsText(argument), process.env);
    if (checked.ok) return checked.value;
    checked.faults.forEach((fault) => process.stderr.write(`${describeFault(fault)}\n`));
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    process.stderr.write(
      `${program}: [2001] Expected a readable settings file, found: ${detail}. Usage: ${program} [SETTINGS.toml]\n`,
    );
  }
  return null;
}

function stopOnSignal(running: RunningProgram, writeEvent: WriteEvent): void {
  let stopping = false;
  const stop = (signal: NodeJS.Signals): void => {
    if (stopping) return;
    stopping = true;
    writeEvent('processStopping', { signal });
    void running.stop().then(() => {
      writeEvent('processStopped');
      process.exit(EXIT_DONE);
    });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

/** Runs a program until a signal ends it. */
export async function runProgram(
  program: string,
  start: (parts: ProgramParts) => Promise<RunningProgram>,
): Promise<void> {
  const settings = await loadSettings(program, process.argv[2]);
  if (settings === null) {
    process.exitCode = EXIT_BAD_INPUT;
    return;
  }
  const writeEvent = createEventLog({
    program,
    processId: settings['process-id'],
    level: settings['log-level'],
  });
  try {
    stopOnSignal(await start({ settings, metrics: createMetrics(), writeEvent }), writeEvent);
  } catch (error) {
    const failure = portFailure(error, settings['listen-ip']);
    if (failure === null) writeEvent('startFailed', { err: error });
    else writeEvent('startFailed', { code: failure.code, detail: failure.detail });
    process.exit(EXIT_FAILED);
  }
}
