/** A whole system on loopback: stand-ins in this process, gateways and controllers as processes of their own. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { startPlatformStub } from '@baobabdeck/platform-stub';
import { startTargetStub, type TargetStub } from '@baobabdeck/target-stub';
import { launch, runCommand, type CommandResult, type LaunchedProcess } from './launch.js';
import { DEFAULT_RULES, hostIdsOf, layoutToml, type PoolLayout, type ServiceRules } from './layout.js';

/** What to run. */
export interface SystemOptions {
  readonly pools: readonly PoolLayout[];
  readonly gateways: number;
  readonly controllers: number;
  readonly rules?: Partial<ServiceRules>;
  /** Settings of the processes, by their keys. */
  readonly settings?: Readonly<Record<string, string>>;
  /** The address that is published for a target instead of its own, as that of a proxy before its port. */
  readonly publishedAddress?: (hostId: string, port: number) => Promise<string>;
}

/** A system that runs. */
export interface LocalSystem {
  readonly platformUrl: string;
  readonly targets: ReadonlyMap<string, TargetStub>;
  readonly gateways: LaunchedProcess[];
  readonly controllers: LaunchedProcess[];
  readonly gatewayUrls: () => readonly string[];
  /** Starts a gateway; `settings` come before those of the system. */
  readonly startGateway: (
    name: string,
    settings?: Readonly<Record<string, string>>,
  ) => Promise<LaunchedProcess>;
  readonly startController: (name: string) => Promise<LaunchedProcess>;
  readonly command: (...commandArguments: readonly string[]) => Promise<CommandResult>;
  /** Sets faults of the stand-in platform. */
  readonly setFaults: (faults: Readonly<Record<string, unknown>>) => Promise<void>;
  readonly setPresence: (hostId: string, presence: string) => Promise<void>;
  readonly close: () => Promise<void>;
}

const SLOTS_PER_HOST = 8;
const POLL_MILLISECONDS = 100;
const START_LIMIT_MILLISECONDS = 30_000;

/** Waits until a condition holds; rejects after a limit that is far beyond what it should take. */
export async function waitUntil(
  what: string,
  holds: () => Promise<boolean> | boolean,
  limitMilliseconds: number = START_LIMIT_MILLISECONDS,
): Promise<void> {
  const giveUpAt = Date.now() + limitMilliseconds;
  while (!(await holds())) {
    if (Date.now() > giveUpAt) throw new Error(`gave up waiting until ${what}`);
    await sleep(POLL_MILLISECONDS);
  }
}

async function post(url: string, body: unknown): Promise<void> {
  const response = await request(url, { method: 'POST', body: JSON.stringify(body) });
  await response.body.dump();
}

/** Reads what an admin port answers; null when nobody does. */
export async function readAdmin(
  address: unknown,
  path: string,
): Promise<Readonly<Record<string, unknown>> | null> {
  try {
    const response = await request(`http://${String(address)}${path}`, {
      signal: AbortSignal.timeout(1_000),
    });
    return (await response.body.json()) as Readonly<Record<string, unknown>>;
  } catch {
    return null;
  }
}

/** Whether a process calls itself ready. */
export async function isReady(process_: LaunchedProcess): Promise<boolean> {
  const readiness = await readAdmin(process_.announced.adminAddress, '/ready');
  return readiness?.ready === true;
}

async function endProcess({ child, exited }: LaunchedProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill('SIGCONT');
  child.kill('SIGKILL');
  await exited;
}

/** Starts a system and resolves when every process is ready. */
export async function startSystem(options: SystemOptions): Promise<LocalSystem> {
  const platform = await startPlatformStub(0);
  const platformUrl = `http://127.0.0.1:${platform.port}`;
  const hostIds = options.pools.flatMap(hostIdsOf);
  const stubs = await Promise.all(hostIds.map((hostId) => startTargetStub(hostId, SLOTS_PER_HOST)));
  const targets = new Map(stubs.map((stub) => [stub.hostId, stub]));
  const own = Object.fromEntries(stubs.map((stub) => [stub.hostId, `127.0.0.1:${stub.port}`]));
  const published: Record<string, string> = { ...own };
  for (const { hostId, port } of options.publishedAddress === undefined ? [] : stubs) {
    published[hostId] = (await options.publishedAddress?.(hostId, port)) ?? `127.0.0.1:${port}`;
  }
  const setPresence = (hostId: string, presence: string): Promise<void> =>
    post(`${platformUrl}/stub/hosts`, [{ hostId, address: own[hostId], presence }]);
  await post(
    `${platformUrl}/stub/hosts`,
    hostIds.map((hostId) => ({ hostId, address: own[hostId] })),
  );

  const directory = await mkdtemp(join(tmpdir(), 'baobabdeck-'));
  const base = join(directory, 'base.toml');
  await writeFile(base, layoutToml(options.pools, published, { ...DEFAULT_RULES, ...options.rules }));
  const command = (...commandArguments: readonly string[]): Promise<CommandResult> =>
    runCommand(commandArguments, { BAOBABDECK_PLATFORM_URL: platformUrl });
  const publication = await command('config', 'publish', '--base', base);
  if (publication.code !== 0) throw new Error(`cannot publish: ${publication.stderr}`);

  const environment = (name: string): Readonly<Record<string, string>> => ({
    BAOBABDECK_PROCESS_ID: name,
    BAOBABDECK_DATA_CENTRE: 'centre-0',
    BAOBABDECK_PLATFORM_URL: platformUrl,
    ...options.settings,
  });
  const gateways: LaunchedProcess[] = [];
  const controllers: LaunchedProcess[] = [];
  const startGateway: LocalSystem['startGateway'] = async (name, settings = {}) => {
    const launched = await launch(name, 'gateway', { ...environment(name), ...settings });
    gateways.push(launched);
    return launched;
  };
  const startController = async (name: string): Promise<LaunchedProcess> => {
    const launched = await launch(name, 'controller', environment(name));
    controllers.push(launched);
    return launched;
  };
  const close = async (): Promise<void> => {
    await Promise.all([...gateways, ...controllers].map(endProcess));
    stubs.forEach((stub) => stub.close());
    platform.close();
    await rm(directory, { recursive: true, force: true });
  };
  const names = (role: string, count: number): readonly string[] =>
    Array.from({ length: count }, (_, index) => `${role}-${index + 1}`);
  try {
    await Promise.all([
      ...names('gateway', options.gateways).map((name) => startGateway(name)),
      ...names('controller', options.controllers).map(startController),
    ]);
    await waitUntil('every process is ready', async () =>
      (await Promise.all([...gateways, ...controllers].map(isReady))).every(Boolean),
    );
    await waitUntil('every host is live', async () => {
      const hosts = JSON.parse((await command('host', 'list', '--json')).stdout) as readonly {
        readonly presence: string;
      }[];
      return options.controllers === 0 || hosts.every((host) => host.presence === 'live');
    });
  } catch (error) {
    await close();
    throw error;
  }
  return {
    platformUrl,
    targets,
    gateways,
    controllers,
    gatewayUrls: () =>
      gateways
        .filter(({ child }) => child.exitCode === null && child.signalCode === null)
        .map(({ announced }) => `http://127.0.0.1:${String(announced.callerPort)}`),
    startGateway,
    startController,
    command,
    setFaults: (faults) => post(`${platformUrl}/stub/faults`, faults),
    setPresence,
    close,
  };
}
