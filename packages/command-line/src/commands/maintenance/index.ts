/** `baobabdeck maintenance`: plan, start, pause, resume and watch waves. */
import { Command, Option } from 'clipanion';
import { explainWave, selectBudgetUse, type FleetState } from '@baobabdeck/core';
import { failureOf, type Result, succeed, fail } from '@baobabdeck/errors';
import { ChangeCommand, FleetCommand } from '../../fleet-command.js';
import { EXIT_DONE, formatTable, printResult } from '../../output.js';

interface Scope {
  readonly pools: readonly string[] | undefined;
  readonly rack: string | undefined;
  readonly dataCentre: string | undefined;
}

function findUnknown(fleet: FleetState, { pools = [], rack, dataCentre }: Scope): string | null {
  const unknownPool = pools.find((pool) => !fleet.pools.has(pool));
  if (unknownPool !== undefined) return `Expected a configured pool, found '${unknownPool}'`;
  if (rack !== undefined && !fleet.configuration.racks.has(rack)) {
    return `Expected a configured rack, found '${rack}'`;
  }
  if (dataCentre !== undefined && !fleet.configuration.dataCentres.has(dataCentre)) {
    return `Expected a configured data centre, found '${dataCentre}'`;
  }
  return null;
}

function selectScope(fleet: FleetState, scope: Scope): Result<readonly string[]> {
  const unknown = findUnknown(fleet, scope);
  if (unknown !== null) return fail('unknownSubject', unknown);
  const { pools, rack, dataCentre } = scope;
  const hosts = [...fleet.hosts.values()]
    .filter((host) => pools === undefined || pools.includes(host.pool))
    .filter((host) => rack === undefined || host.rack === rack)
    .filter(
      (host) =>
        dataCentre === undefined || fleet.configuration.racks.get(host.rack)?.dataCentre === dataCentre,
    );
  return succeed(hosts.map((host) => host.hostId).sort());
}

interface PoolPlan {
  readonly pool: string;
  readonly hosts: number;
  readonly atOnce: number;
  /** Rounds of drain and reboot that the budget asks for, at least. */
  readonly rounds: number;
}

function planPools(fleet: FleetState, hostIds: readonly string[]): readonly PoolPlan[] {
  const pools = new Map<string, number>();
  hostIds.forEach((hostId) => {
    const pool = fleet.hosts.get(hostId)?.pool ?? '';
    pools.set(pool, (pools.get(pool) ?? 0) + 1);
  });
  return [...pools].map(([pool, hosts]) => {
    const section = fleet.configuration.pools.get(pool);
    const atOnce = Math.max(0, (section?.maximumAbsentHosts ?? 0) - (section?.failureReserveHosts ?? 0));
    return {
      pool,
      hosts,
      atOnce,
      rounds: atOnce === 0 ? Number.POSITIVE_INFINITY : Math.ceil(hosts / atOnce),
    };
  });
}

abstract class ScopeCommand extends ChangeCommand {
  pools = Option.Array('--pool', { description: 'only hosts of these pools' });

  rack = Option.String('--rack');

  dataCentre = Option.String('--data-centre');

  protected selectHosts(fleet: FleetState): Result<readonly string[]> {
    return selectScope(fleet, { pools: this.pools, rack: this.rack, dataCentre: this.dataCentre });
  }
}

/** `maintenance plan`: shows how wide a wave could be; sends nothing. */
export class MaintenancePlanCommand extends ScopeCommand {
  static override paths = [['maintenance', 'plan']];

  static override usage = Command.Usage({
    category: 'Maintenance',
    description: 'show what a wave would do',
  });

  async execute(): Promise<number> {
    return this.withFleet((fleet) => {
      const hostIds = this.selectHosts(fleet);
      if (!hostIds.ok) return this.fail(hostIds.failure);
      const plans = planPools(fleet, hostIds.value);
      const rows = plans.map((plan) => {
        const { room } = selectBudgetUse(fleet, plan.pool);
        return [
          plan.pool,
          `${plan.hosts}`,
          `${plan.atOnce}`,
          `${room}`,
          Number.isFinite(plan.rounds) ? `${plan.rounds}` : 'never: no budget',
        ];
      });
      printResult(
        this.output,
        { hostIds: hostIds.value, pools: plans },
        formatTable(['pool', 'hosts', 'at once', 'room now', 'rounds'], rows),
      );
      return EXIT_DONE;
    });
  }
}

/** `maintenance start`: starts a wave over the chosen hosts. */
export class MaintenanceStartCommand extends ScopeCommand {
  static override paths = [['maintenance', 'start']];

  static override usage = Command.Usage({ category: 'Maintenance', description: 'start a wave' });

  wave = Option.String({ name: 'wave' });

  async execute(): Promise<number> {
    return this.withFleet(async (fleet, platform) => {
      const hostIds = this.selectHosts(fleet);
      if (!hostIds.ok) return this.fail(hostIds.failure);
      const body = { kind: 'wave-started', plan: { waveId: this.wave, hostIds: hostIds.value } } as const;
      return this.sendAndPrint(
        platform,
        fleet,
        body,
        `wave ${this.wave} started over ${hostIds.value.length} hosts`,
      );
    });
  }
}

/** `maintenance pause`: no further host leaves; those that are out come back. */
export class MaintenancePauseCommand extends ChangeCommand {
  static override paths = [['maintenance', 'pause']];

  static override usage = Command.Usage({ category: 'Maintenance', description: 'pause a wave' });

  wave = Option.String({ name: 'wave' });

  reason = Option.String('--reason', 'an operator paused it');

  async execute(): Promise<number> {
    return this.withFleet((fleet, platform) =>
      this.sendAndPrint(
        platform,
        fleet,
        { kind: 'wave-paused', waveId: this.wave, reason: this.reason },
        `wave ${this.wave} pauses`,
      ),
    );
  }
}

/** `maintenance resume`: goes on with a paused wave. */
export class MaintenanceResumeCommand extends ChangeCommand {
  static override paths = [['maintenance', 'resume']];

  static override usage = Command.Usage({ category: 'Maintenance', description: 'resume a wave' });

  wave = Option.String({ name: 'wave' });

  async execute(): Promise<number> {
    return this.withFleet((fleet, platform) =>
      this.sendAndPrint(
        platform,
        fleet,
        { kind: 'wave-resumed', waveId: this.wave },
        `wave ${this.wave} goes on`,
      ),
    );
  }
}

/** `maintenance status`: every wave, or one in detail. */
export class MaintenanceStatusCommand extends FleetCommand {
  static override paths = [['maintenance', 'status']];

  static override usage = Command.Usage({ category: 'Maintenance', description: 'show the waves' });

  wave = Option.String({ name: 'wave', required: false });

  async execute(): Promise<number> {
    return this.withFleet((fleet) =>
      this.wave === undefined ? this.printAll(fleet) : this.printOne(fleet, this.wave),
    );
  }

  private printAll(fleet: FleetState): number {
    const waves = [...fleet.waves.values()];
    const rows = waves.map((wave) => [
      wave.waveId,
      wave.state,
      `${wave.hosts.size}`,
      `${wave.pendingCount}`,
      `${wave.outCount}`,
      wave.reason,
    ]);
    const summary = waves.map(({ waveId, state, reason, pendingCount, outCount, hosts }) => ({
      waveId,
      state,
      reason,
      hosts: hosts.size,
      pending: pendingCount,
      out: outCount,
    }));
    printResult(
      this.output,
      summary,
      formatTable(['wave', 'state', 'hosts', 'pending', 'out', 'reason'], rows),
    );
    return EXIT_DONE;
  }

  private printOne(fleet: FleetState, waveId: string): number {
    const wave = fleet.waves.get(waveId);
    const explanation = explainWave(fleet, waveId);
    if (wave === undefined || explanation === null) {
      return this.fail(failureOf('unknownWave', `Expected a wave, found '${waveId}'`));
    }
    printResult(this.output, { ...wave, hosts: wave.hosts.toObject() }, [
      ...explanation.now,
      ...explanation.next,
      ...explanation.history,
    ]);
    return EXIT_DONE;
  }
}
