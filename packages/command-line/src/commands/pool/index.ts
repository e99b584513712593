/** `baobabdeck pool`: list pools and show one. */
import { Command, Option } from 'clipanion';
import { explainPool, selectBudgetUse } from '@baobabdeck/core';
import { failureOf } from '@baobabdeck/errors';
import { FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, formatTable, printResult } from '../../output.js';

/** `pool list`: every pool with the use of its budget. */
export class PoolListCommand extends FleetCommand {
  static override paths = [['pool', 'list']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'list the pools' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const pools = [...fleet.pools.keys()].sort().map((pool) => ({ pool, ...selectBudgetUse(fleet, pool) }));
      const rows = pools.map(({ pool, hosts, absent, maximumAbsent, room }) => [
        pool,
        `${hosts}`,
        `${absent}`,
        `${maximumAbsent}`,
        `${room}`,
      ]);
      printResult(this.output, pools, formatTable(['pool', 'hosts', 'absent', 'budget', 'room'], rows));
      return EXIT_DONE;
    });
  }
}

/** `pool show`: one pool and its absent hosts. */
export class PoolShowCommand extends FleetCommand {
  static override paths = [['pool', 'show']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'show one pool' });

  pool = Option.String({ name: 'pool' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const explanation = explainPool(fleet, this.pool);
      if (explanation === null) {
        return this.fail(failureOf('unknownPool', `Expected a configured pool, found '${this.pool}'`));
      }
      const hosts = [...(fleet.pools.get(this.pool)?.hostIds ?? [])].sort();
      printResult(this.output, { pool: this.pool, ...selectBudgetUse(fleet, this.pool), hostIds: hosts }, [
        ...explanation.now,
        ...explanation.next,
        `hosts: ${hosts.join(', ')}`,
      ]);
      return EXIT_DONE;
    });
  }
}
