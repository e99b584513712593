/** `baobabdeck status`: the whole fleet at a glance. */
import { Command } from 'clipanion';
import { selectBudgetUse } from '@baobabdeck/core';
import { FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, printResult } from '../../output.js';

/** `status`. */
export class StatusCommand extends FleetCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'show the fleet at a glance' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const members = [...fleet.members.values()].map(({ identity }) => identity);
      const pools = [...fleet.pools.keys()].sort().map((pool) => ({ pool, ...selectBudgetUse(fleet, pool) }));
      const running = [...fleet.waves.values()]
        .filter((wave) => wave.state !== 'finished')
        .map((wave) => wave.waveId);
      const waiting = fleet.waitingJobs.size;
      const { version } = fleet.configuration;
      printResult(
        this.output,
        { version, processes: members, pools, wavesInProgress: running, jobsWaiting: waiting },
        [
          `configuration version ${version}`,
          `${members.length} processes: ${members.map((member) => member.processId).join(', ') || 'none'}`,
          `${fleet.hosts.size} hosts in ${pools.length} pools, ${pools.reduce((sum, pool) => sum + pool.absent, 0)} absent`,
          `waves in progress: ${running.join(', ') || 'none'}`,
          `jobs waiting: ${waiting}`,
        ],
      );
      return EXIT_DONE;
    });
  }
}
