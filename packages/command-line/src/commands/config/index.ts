/** `baobabdeck config`: check, compare, publish and show the configuration. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import { request } from 'undici';
import { planConfigurationChanges, type FleetState } from '@baobabdeck/core';
import type { SectionChange } from '@baobabdeck/types';
import { ChangeCommand, FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, EXIT_REFUSED, formatTable, printFaults, printResult } from '../../output.js';
import { readConfiguration } from '../../read-settings.js';

function describeChange({ sectionKind, name, section }: SectionChange, fleet: FleetState): string {
  if (section === null) return `- ${sectionKind}.${name}`;
  const known = fleet.configuration[sectionKind].has(name);
  return `${known ? '~' : '+'} ${sectionKind}.${name}`;
}

/** `config check`: lists every fault and sends nothing. */
export class ConfigCheckCommand extends Command {
  static override paths = [['config', 'check']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'list every fault of the files',
  });

  base = Option.String('--base', { required: true });

  overlay = Option.String('--overlay');

  json = Option.Boolean('--json', false);

  async execute(): Promise<number> {
    const output = { stdout: this.context.stdout, stderr: this.context.stderr, json: this.json };
    const checked = await readConfiguration(this.base, this.overlay);
    if (!checked.ok) return printFaults(output, checked.faults);
    const { pools, services, racks, workspaces } = checked.value;
    const hosts = Object.values(racks).reduce((sum, rack) => sum + rack.hosts.length, 0);
    const counts = {
      pools: Object.keys(pools).length,
      services: Object.keys(services).length,
      racks: Object.keys(racks).length,
      workspaces: Object.keys(workspaces).length,
      hosts,
    };
    printResult(output, { faults: [], ...counts }, [
      `no faults: ${counts.pools} pools, ${counts.services} services, ${counts.racks} racks, ${hosts} hosts`,
    ]);
    return EXIT_DONE;
  }
}

/** `config diff`: shows what a publication would change. */
export class ConfigDiffCommand extends FleetCommand {
  static override paths = [['config', 'diff']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show what a publication would change',
  });

  base = Option.String('--base', { required: true });

  overlay = Option.String('--overlay');

  async execute(): Promise<number> {
    const checked = await readConfiguration(this.base, this.overlay);
    if (!checked.ok) return printFaults(this.output, checked.faults);
    return this.withFleet((fleet) => {
      const changes = planConfigurationChanges(fleet.configuration, checked.value);
      const lines = changes.map((change) => describeChange(change, fleet));
      printResult(
        this.output,
        { version: fleet.configuration.version, changes },
        lines.length > 0 ? lines : ['no changes'],
      );
      return EXIT_DONE;
    });
  }
}

/** `config publish`: puts the changes into the log; all of them are in force from one offset, or none. */
export class ConfigPublishCommand extends ChangeCommand {
  static override paths = [['config', 'publish']];

  static override usage = Command.Usage({ category: 'Configuration', description: 'publish the files' });

  base = Option.String('--base', { required: true });

  overlay = Option.String('--overlay');

  expectVersion = Option.String('--expect-version', { validator: typanion.isNumber() });

  async execute(): Promise<number> {
    const checked = await readConfiguration(this.base, this.overlay);
    if (!checked.ok) return printFaults(this.output, checked.faults);
    return this.withFleet(async (fleet, platform) => {
      const changes = planConfigurationChanges(fleet.configuration, checked.value);
      const repeated = this.commandId !== undefined && fleet.verdicts.has(this.commandId);
      if (changes.length === 0 && this.expectVersion === undefined && !repeated) {
        printResult(this.output, { version: fleet.configuration.version, changes: [] }, [
          'no changes; nothing was sent',
        ]);
        return EXIT_DONE;
      }
      const expectedVersion = this.expectVersion ?? fleet.configuration.version;
      const result = await this.send(platform, fleet, {
        kind: 'configuration-published',
        expectedVersion,
        changes,
      });
      if (!result.ok) return this.fail(result.failure);
      const { version } = result.value.fleet.configuration;
      const { commandId, verdict } = result.value;
      printResult(this.output, { version, offset: verdict.offset, commandId, changes: changes.length }, [
        `published version ${version} with ${changes.length} changed sections (offset ${verdict.offset}, command ${commandId})`,
      ]);
      return EXIT_DONE;
    });
  }
}

/** `config show`: prints the configuration that the log has. */
export class ConfigShowCommand extends FleetCommand {
  static override paths = [['config', 'show']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the published configuration',
  });

  async execute(): Promise<number> {
    return this.withFleet(({ configuration }) => {
      const { version, offset, dataCentres, hardware, pools, services, racks, teams, workspaces } =
        configuration;
      const sections = { dataCentres, hardware, pools, services, racks, teams, workspaces };
      const plain = Object.fromEntries(Object.entries(sections).map(([kind, map]) => [kind, map.toObject()]));
      const lines = Object.entries(sections).map(
        ([kind, map]) => `${kind}: ${[...map.keys()].sort().join(', ') || 'none'}`,
      );
      printResult(this.output, { version, offset, ...plain }, [
        `version ${version} (offset ${offset})`,
        ...lines,
      ]);
      return EXIT_DONE;
    });
  }
}

interface ProcessVersion {
  readonly processId: string;
  readonly role: string;
  readonly configurationVersion: number | null;
}

const STATUS_TIMEOUT_MILLISECONDS = 2_000;

async function askVersion(processId: string, role: string, adminAddress: string): Promise<ProcessVersion> {
  try {
    const response = await request(`http://${adminAddress}/status`, {
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MILLISECONDS),
    });
    const { configurationVersion = null } = (await response.body.json()) as {
      readonly configurationVersion?: number;
    };
    return { processId, role, configurationVersion };
  } catch {
    return { processId, role, configurationVersion: null };
  }
}

/** `config status`: asks each process for the version that it works with. */
export class ConfigStatusCommand extends FleetCommand {
  static override paths = [['config', 'status']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'show the version in force on each process',
  });

  async execute(): Promise<number> {
    return this.withFleet(async (fleet) => {
      const members = [...fleet.members.values()].map(({ identity }) => identity);
      const versions = await Promise.all(
        members.map(({ processId, role, adminAddress }) => askVersion(processId, role, adminAddress)),
      );
      const { version } = fleet.configuration;
      const rows = versions.map((one) => [
        one.processId,
        one.role,
        one.configurationVersion === null ? 'no answer' : `${one.configurationVersion}`,
      ]);
      printResult(this.output, { version, processes: versions }, [
        `published: version ${version}`,
        ...formatTable(['process', 'role', 'version'], rows),
      ]);
      return versions.every((one) => one.configurationVersion === version) ? EXIT_DONE : EXIT_REFUSED;
    });
  }
}
