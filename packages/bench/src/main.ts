/** `npm run bench -- <experiment>`: named experiments on seeded traces, each policy beside the bound. */
import { writeFile } from 'node:fs/promises';
import { Cli, Command, Option, UsageError } from 'clipanion';
import type { Experiment } from './experiment.js';
import { EXPERIMENTS } from './index.js';
import { formatResults, plotResults } from './report.js';

const DEFAULT_SEED = '1';

function findExperiment(name: string): Experiment {
  const experiment = EXPERIMENTS.find((one) => one.name === name);
  const names = EXPERIMENTS.map((one) => one.name).join(', ');
  if (experiment === undefined) throw new UsageError(`Expected one of ${names}, found '${name}'`);
  return experiment;
}

class BenchCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'run an experiment and print one row for each policy',
    details: EXPERIMENTS.map(
      (one) => `- \`${one.name}\`: ${one.description}; policies: ${one.policies.join(', ')}`,
    ).join('\n'),
  });

  experiment = Option.String({ name: 'experiment' });

  seed = Option.String('--seed', DEFAULT_SEED, { description: 'seed of the trace' });

  policies = Option.Array('--policy', [], { description: 'only these policies' });

  json = Option.String('--json', { description: 'write the figures to this file' });

  plot = Option.String('--plot', { description: 'write a plot to this file' });

  async execute(): Promise<number> {
    const experiment = findExperiment(this.experiment);
    const seed = Number(this.seed);
    if (!Number.isInteger(seed)) {
      throw new UsageError(`Expected a whole number as --seed, found '${this.seed}'`);
    }
    const unknown = this.policies.find((policy) => !experiment.policies.includes(policy));
    if (unknown !== undefined) {
      throw new UsageError(`Expected one of ${experiment.policies.join(', ')}, found '${unknown}'`);
    }
    const results = await experiment.run({ seed, policies: this.policies });
    formatResults(results).forEach((line) => this.context.stdout.write(`${line}\n`));
    if (this.json !== undefined) {
      await writeFile(
        this.json,
        `${JSON.stringify({ experiment: experiment.name, seed, results }, null, 2)}\n`,
      );
    }
    if (this.plot !== undefined) {
      await writeFile(this.plot, plotResults(`${experiment.name}, seed ${seed}`, results));
    }
    return 0;
  }
}

const cli = new Cli({ binaryLabel: 'experiments', binaryName: 'npm run bench --' });
cli.register(BenchCommand);
const commandArguments = process.argv.slice(2);
if (commandArguments.includes('--help') || commandArguments.length === 0) {
  process.stdout.write(cli.usage(BenchCommand, { detailed: true }));
} else {
  process.exitCode = await cli.run(commandArguments);
}
