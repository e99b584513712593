/** `baobabdeck workspace`: list the workspaces. */
import { Command } from 'clipanion';
import { FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, formatTable, printResult } from '../../output.js';

function formatLimit(limit: number | null): string {
  return limit === null ? 'none' : `${limit}`;
}

/** `workspace list`: every workspace with its limits and the number of its keys. Digests are not shown. */
export class WorkspaceListCommand extends FleetCommand {
  static override paths = [['workspace', 'list']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'list the workspaces' });

  async execute(): Promise<number> {
    return this.withFleet(({ configuration }) => {
      const workspaces = [...configuration.workspaces.entries()]
        .sort(([one], [other]) => one.localeCompare(other))
        .map(([workspace, { keyDigests, ...section }]) => ({
          workspace,
          keys: keyDigests.length,
          ...section,
        }));
      const rows = workspaces.map((one) => [
        one.workspace,
        `${one.keys}`,
        `${one.weight}`,
        formatLimit(one.maximumCores),
        formatLimit(one.maximumMemoryGigabytes),
        formatLimit(one.maximumAccelerators),
      ]);
      const head = ['workspace', 'keys', 'weight', 'cores', 'memory-gb', 'accelerators'];
      printResult(this.output, workspaces, formatTable(head, rows));
      return EXIT_DONE;
    });
  }
}
