/** `baobabdeck host`: list and show hosts, and move, drain or return one. */
import { Command, Option } from 'clipanion';
import { explainHost, type FleetState, type Host } from '@baobabdeck/core';
import { failureOf, succeed, type Result } from '@baobabdeck/errors';
import type { Platform } from '@baobabdeck/platform';
import type { DrainPurpose } from '@baobabdeck/types';
import { ChangeCommand, FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, formatTable, printResult } from '../../output.js';

/** `host list`: every host, or those of one pool. */
export class HostListCommand extends FleetCommand {
  static override paths = [['host', 'list']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'list the hosts' });

  pool = Option.String('--pool');

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const hosts = [...fleet.hosts.values()]
        .filter((host) => this.pool === undefined || host.pool === this.pool)
        .sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
      const rows = hosts.map(({ hostId, pool, rack, duty, presence }) => [
        hostId,
        pool,
        rack,
        duty.kind,
        presence,
      ]);
      printResult(this.output, hosts, formatTable(['host', 'pool', 'rack', 'duty', 'presence'], rows));
      return EXIT_DONE;
    });
  }
}

/** `host show`: one host. */
export class HostShowCommand extends FleetCommand {
  static override paths = [['host', 'show']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'show one host' });

  host = Option.String({ name: 'host' });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const host = fleet.hosts.get(this.host);
      const explanation = explainHost(fleet, this.host);
      if (host === undefined || explanation === null) {
        return this.fail(failureOf('unknownHost', `Expected a configured host, found '${this.host}'`));
      }
      printResult(this.output, host, [...explanation.now, ...explanation.next]);
      return EXIT_DONE;
    });
  }
}

async function readHostListAge(platform: Platform): Promise<Result<number>> {
  const list = await platform.listHosts(new Date());
  return list.ok ? succeed(Math.max(0, Date.now() - list.value.asOf.getTime())) : list;
}

abstract class HostChangeCommand extends ChangeCommand {
  host = Option.String({ name: 'host' });

  protected findHost(fleet: FleetState): Host | undefined {
    return fleet.hosts.get(this.host);
  }

  protected async requestDrain(
    purpose: DrainPurpose,
    destinationPool: string | null,
    done: string,
  ): Promise<number> {
    return this.withFleet(async (fleet, platform) => {
      const age = await readHostListAge(platform);
      if (!age.ok) return this.fail(age.failure);
      const body = {
        kind: 'host-drain-requested',
        hostId: this.host,
        purpose,
        waveId: null,
        destinationPool,
        hostListAgeMilliseconds: age.value,
        epoch: null,
      } as const;
      return this.sendAndPrint(platform, fleet, body, done);
    });
  }
}

/** `host drain`: takes a host out of service until `host return`. */
export class HostDrainCommand extends HostChangeCommand {
  static override paths = [['host', 'drain']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'take a host out of service' });

  async execute(): Promise<number> {
    return this.requestDrain('operator', null, `host ${this.host} drains`);
  }
}

/** `host move`: drains a host and puts it into another pool. */
export class HostMoveCommand extends HostChangeCommand {
  static override paths = [['host', 'move']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'move a host to another pool' });

  to = Option.String('--to', { required: true, description: 'the pool that the host joins' });

  async execute(): Promise<number> {
    return this.requestDrain('move', this.to, `host ${this.host} drains and then joins pool ${this.to}`);
  }
}

/** `host return`: puts a host back into service. */
export class HostReturnCommand extends HostChangeCommand {
  static override paths = [['host', 'return']];

  static override usage = Command.Usage({ category: 'Fleet', description: 'put a host back into service' });

  async execute(): Promise<number> {
    return this.withFleet((fleet, platform) =>
      this.sendAndPrint(
        platform,
        fleet,
        { kind: 'host-returned', hostId: this.host, epoch: null },
        `host ${this.host} is back in service`,
      ),
    );
  }
}
