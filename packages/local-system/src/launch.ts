/** Starts the programs as plain processes and reads where they listen. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const PACKAGES = new URL('../../', import.meta.url);

/** Programs of the workspace. */
export type ProgramName = 'gateway' | 'controller' | 'command-line';

const BINARIES: Readonly<Record<ProgramName, string>> = {
  gateway: 'gateway/bin/baobabdeck-gateway.js',
  controller: 'controller/bin/baobabdeck-controller.js',
  'command-line': 'command-line/bin/baobabdeck.js',
};

/** The path of a program. */
export function programPath(program: ProgramName): string {
  return fileURLToPath(new URL(BINARIES[program], PACKAGES));
}

/** A process that runs. */
export interface LaunchedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** What the program said of itself when it was ready. */
  readonly announced: Readonly<Record<string, unknown>>;
  /** Structured log lines with one of these event numbers. */
  readonly events: (number: number) => readonly Readonly<Record<string, unknown>>[];
  readonly exited: Promise<number | null>;
}

function parseLine(line: string): Readonly<Record<string, unknown>> | null {
  try {
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  } catch {
    return null;
  }
}

/** Starts a program and resolves when it has said where it listens. */
export async function launch(
  name: string,
  program: ProgramName,
  environment: Readonly<Record<string, string>>,
): Promise<LaunchedProcess> {
  const child = spawn(process.execPath, [programPath(program)], {
    env: { PATH: process.env.PATH, ...environment },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const logged: Readonly<Record<string, unknown>>[] = [];
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  const announced = await new Promise<Readonly<Record<string, unknown>>>((resolve, reject) => {
    child.once('exit', (code) =>
      reject(new Error(`${name} ended with code ${String(code)} before it was ready`)),
    );
    createInterface({ input: child.stdout }).on('line', (line) => {
      const parsed = parseLine(line);
      if (parsed === null) return;
      if ('adminAddress' in parsed && !('event' in parsed)) resolve(parsed);
      else logged.push(parsed);
    });
  });
  return {
    name,
    child,
    announced,
    exited,
    events: (number) => logged.filter((entry) => entry.event === number),
  };
}

/** What a command printed and how it ended. */
export interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs one command of the command line to its end. */
export async function runCommand(
  commandArguments: readonly string[],
  environment: Readonly<Record<string, string>>,
): Promise<CommandResult> {
  const child = spawn(process.execPath, [programPath('command-line'), ...commandArguments], {
    env: { PATH: process.env.PATH, ...environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let stdout = '';
  let stderr = '';
  child.stdout.on('data', (chunk) => {
    stdout += String(chunk);
  });
  child.stderr.on('data', (chunk) => {
    stderr += String(chunk);
  });
  const code = await new Promise<number | null>((resolve) => {
    child.once('close', resolve);
  });
  return { code, stdout, stderr };
}
