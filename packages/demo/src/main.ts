/** `npm run demo`: the whole system on loopback, with a maintenance wave under load. */
import { setTimeout as sleep } from 'node:timers/promises';
import { readAdmin, startSystem, type LocalSystem, type PoolLayout } from '@baobabdeck/local-system';
import { runLoad } from './load.js';
import { describeFindings, findBroken, type PoolLow } from './summary.js';

const PROCESSES = 3;
const CALLERS = 32;
const SAMPLE_MILLISECONDS = 200;
const WAVE_LIMIT_MILLISECONDS = 45_000;
const SHORTEST_LOAD_MILLISECONDS = 8_000;

const POOLS: readonly PoolLayout[] = [
  { name: 'luthier', hosts: 8, maximumAbsentHosts: 3, failureReserveHosts: 1 },
  { name: 'restorer', hosts: 8, maximumAbsentHosts: 3, failureReserveHosts: 1 },
  { name: 'kutaisi-desk', hosts: 8, maximumAbsentHosts: 3, failureReserveHosts: 1 },
  { name: 'paediatric', hosts: 6, maximumAbsentHosts: 3, failureReserveHosts: 1 },
];

interface Budget {
  readonly pool: string;
  readonly hosts: number;
  readonly absent: number;
  readonly maximumAbsent: number;
}

function noteBudgets(lows: Map<string, PoolLow>, budgets: readonly Budget[]): void {
  budgets.forEach(({ pool, hosts, absent, maximumAbsent }) => {
    const mostAbsent = Math.max(lows.get(pool)?.mostAbsent ?? 0, absent);
    lows.set(pool, { pool, hosts, mostAbsent, maximumAbsent });
  });
}

async function watchBudgets(
  system: LocalSystem,
  lows: Map<string, PoolLow>,
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    const status = await readAdmin(system.controllers[0]?.announced.adminAddress, '/status');
    noteBudgets(lows, (status?.budgets ?? []) as readonly Budget[]);
    await sleep(SAMPLE_MILLISECONDS);
  }
}

async function runWave(system: LocalSystem): Promise<number> {
  await system.command('maintenance', 'start', 'demo-wave');
  const giveUpAt = Date.now() + WAVE_LIMIT_MILLISECONDS;
  for (;;) {
    const status = await system.command('maintenance', 'status', 'demo-wave', '--json');
    const wave = JSON.parse(status.stdout) as {
      readonly state: string;
      readonly hosts: Readonly<Record<string, { readonly kind: string }>>;
    };
    const done = Object.values(wave.hosts).filter((host) => host.kind === 'done').length;
    process.stdout.write(`wave ${wave.state}: ${done} of ${Object.keys(wave.hosts).length} hosts done\n`);
    if (wave.state === 'finished' || Date.now() > giveUpAt) return done;
    await sleep(2_000);
  }
}

async function countViolations(system: LocalSystem): Promise<number> {
  const VIOLATION_EVENT = 901;
  return [...system.gateways, ...system.controllers].reduce(
    (sum, { events }) => sum + events(VIOLATION_EVENT).length,
    0,
  );
}

async function runDemo(system: LocalSystem): Promise<number> {
  process.stdout.write(
    `running: ${PROCESSES} gateways, ${PROCESSES} controllers, ${system.targets.size} hosts\n`,
  );
  const lows = new Map<string, PoolLow>();
  let over = false;
  const startedAt = Date.now();
  const watching = watchBudgets(system, lows, () => over);
  const loading = runLoad({
    gatewayUrls: system.gatewayUrls,
    services: POOLS.map((pool) => pool.name),
    callers: CALLERS,
    isOver: () => over,
  });
  const hostsMaintained = await runWave(system);
  await sleep(Math.max(0, SHORTEST_LOAD_MILLISECONDS - (Date.now() - startedAt)));
  over = true;
  const load = await loading;
  await watching;
  const findings = {
    load,
    targets: [...system.targets.values()],
    pools: [...lows.values()],
    hostsMaintained,
    hostsInWave: system.targets.size,
    invariantViolations: await countViolations(system),
  };
  describeFindings(findings).forEach((line) => process.stdout.write(`${line}\n`));
  const broken = findBroken(findings);
  broken.forEach((line) => process.stdout.write(`BROKEN: ${line}\n`));
  process.stdout.write(
    broken.length === 0
      ? 'nothing that must always hold was broken\n'
      : `${broken.length} rules were broken\n`,
  );
  return broken.length === 0 ? 0 : 1;
}

const system = await startSystem({ pools: POOLS, gateways: PROCESSES, controllers: PROCESSES });
process.once('SIGINT', () => {
  void system.close().then(() => process.exit(1));
});
try {
  process.exitCode = await runDemo(system);
} finally {
  await system.close();
}
