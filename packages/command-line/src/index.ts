/** The operators' command line. */
import { Builtins, Cli } from 'clipanion';
import {
  ConfigCheckCommand,
  ConfigDiffCommand,
  ConfigPublishCommand,
  ConfigShowCommand,
  ConfigStatusCommand,
} from './commands/config/index.js';
import { ExplainCommand } from './commands/explain/index.js';
import {
  HostDrainCommand,
  HostListCommand,
  HostMoveCommand,
  HostReturnCommand,
  HostShowCommand,
} from './commands/host/index.js';
import { JobCancelCommand, JobListCommand, JobSubmitCommand } from './commands/job/index.js';
import {
  MaintenancePauseCommand,
  MaintenancePlanCommand,
  MaintenanceResumeCommand,
  MaintenanceStartCommand,
  MaintenanceStatusCommand,
} from './commands/maintenance/index.js';
import { WorkspaceListCommand } from './commands/workspace/index.js';
import { PoolListCommand, PoolShowCommand } from './commands/pool/index.js';
import { StatusCommand } from './commands/status/index.js';
import { EXIT_BAD_INPUT, EXIT_REFUSED } from './output.js';

const COMMANDS = [
  ConfigCheckCommand,
  ConfigDiffCommand,
  ConfigPublishCommand,
  ConfigShowCommand,
  ConfigStatusCommand,
  ExplainCommand,
  HostDrainCommand,
  HostListCommand,
  HostMoveCommand,
  HostReturnCommand,
  HostShowCommand,
  JobCancelCommand,
  JobListCommand,
  JobSubmitCommand,
  MaintenancePauseCommand,
  MaintenancePlanCommand,
  MaintenanceResumeCommand,
  MaintenanceStartCommand,
  MaintenanceStatusCommand,
  PoolListCommand,
  WorkspaceListCommand,
  PoolShowCommand,
  StatusCommand,
  Builtins.HelpCommand,
];

function isUsageError(error: unknown): boolean {
  return error instanceof Error && 'clipanion' in error;
}

/** Runs one command and gives its exit code: 0 done, 1 refused or failed, 2 bad input or usage. */
export async function runCommandLine(commandArguments: readonly string[]): Promise<number> {
  const cli = new Cli({ binaryLabel: 'baobabdeck', binaryName: 'baobabdeck', enableCapture: false });
  COMMANDS.forEach((command) => cli.register(command));
  try {
    const command = cli.process([...commandArguments], Cli.defaultContext);
    return await cli.run(command, Cli.defaultContext);
  } catch (error) {
    if (!isUsageError(error)) {
      process.stderr.write(`failed: ${error instanceof Error ? error.message : String(error)}\n`);
      return EXIT_REFUSED;
    }
    process.stderr.write(cli.error(error, { colored: false }));
    return EXIT_BAD_INPUT;
  }
}
