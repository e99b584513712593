/** `baobabdeck job`: submit, list and cancel jobs. */
import { Command, Option } from 'clipanion';
import * as typanion from 'typanion';
import { ChangeCommand, FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, formatTable, printResult } from '../../output.js';

const amount = typanion.cascade(typanion.isNumber(), [typanion.isInteger(), typanion.isAtLeast(0)]);

/** `job submit`: hands in a job for a team. */
export class JobSubmitCommand extends ChangeCommand {
  static override paths = [['job', 'submit']];

  static override usage = Command.Usage({ category: 'Jobs', description: 'submit a job' });

  jobId = Option.String({ name: 'job' });

  team = Option.String('--team', { required: true });

  pool = Option.String('--pool', { required: true });

  cores = Option.String('--cores', '1', { validator: amount });

  accelerators = Option.String('--accelerators', '0', { validator: amount });

  memory = Option.String('--memory-gb', '1', { validator: amount });

  urgent = Option.Boolean('--urgent', false);

  once = Option.Boolean('--once', false, { description: 'never run it a second time' });

  async execute(): Promise<number> {
    return this.withFleet((fleet, platform) => {
      const { jobId, team, pool, urgent } = this;
      const needs = {
        cores: Number(this.cores),
        accelerators: Number(this.accelerators),
        memoryGigabytes: Number(this.memory),
      };
      const job = { jobId, team, pool, ...needs, urgent, repeatable: !this.once };
      return this.sendAndPrint(
        platform,
        fleet,
        { kind: 'job-submitted', job },
        `job ${jobId} waits for a worker`,
      );
    });
  }
}

/** `job cancel`: ends a job. */
export class JobCancelCommand extends ChangeCommand {
  static override paths = [['job', 'cancel']];

  static override usage = Command.Usage({ category: 'Jobs', description: 'cancel a job' });

  jobId = Option.String({ name: 'job' });

  async execute(): Promise<number> {
    return this.withFleet((fleet, platform) =>
      this.sendAndPrint(
        platform,
        fleet,
        { kind: 'job-cancelled', jobId: this.jobId },
        `job ${this.jobId} is cancelled`,
      ),
    );
  }
}

/** `job list`: every job with its status. */
export class JobListCommand extends FleetCommand {
  static override paths = [['job', 'list']];

  static override usage = Command.Usage({ category: 'Jobs', description: 'list the jobs' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const jobs = [...fleet.jobs.values()];
      const rows = jobs.map(({ request, status }) => [
        request.jobId,
        request.team,
        request.pool,
        status.kind,
      ]);
      printResult(this.output, jobs, formatTable(['job', 'team', 'pool', 'status'], rows));
      return EXIT_DONE;
    });
  }
}
