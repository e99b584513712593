/** Sizes of a system to run, and the configuration for it. */

/** One pool with the service of the same name. */
export interface PoolLayout {
  readonly name: string;
  readonly hosts: number;
  readonly maximumAbsentHosts: number;
  readonly failureReserveHosts: number;
}

/** Rules of services that tests vary. */
export interface ServiceRules {
  readonly defaultDeadlineMilliseconds: number;
  readonly longWorkThresholdMilliseconds: number;
  readonly silenceTimeoutMilliseconds: number;
  readonly maximumWaiting: number;
}

/** The rules of a service that a test does not vary. */
export const DEFAULT_RULES: ServiceRules = {
  defaultDeadlineMilliseconds: 20_000,
  longWorkThresholdMilliseconds: 1_000,
  silenceTimeoutMilliseconds: 2_000,
  maximumWaiting: 1_000,
};

const HOSTS_PER_RACK = 4;
const SLOTS_PER_HOST = 8;

/** The names of a pool's hosts. */
export function hostIdsOf(pool: PoolLayout): readonly string[] {
  return Array.from({ length: pool.hosts }, (_, index) => `${pool.name}-${index + 1}`);
}

function rackOf(pool: PoolLayout, addresses: Readonly<Record<string, string>>, first: number): string {
  const hosts = hostIdsOf(pool)
    .slice(first, first + HOSTS_PER_RACK)
    .map((id) => `{ id = "${id}", address = "${addresses[id] ?? ''}" }`);
  return `[racks.${pool.name}-rack-${first / HOSTS_PER_RACK + 1}]
data-centre = "centre-${(first / HOSTS_PER_RACK) % 2}"
pool = "${pool.name}"
hardware = "worker"
hosts = [${hosts.join(', ')}]`;
}

function poolToml(pool: PoolLayout, rules: ServiceRules): string {
  return `[pools.${pool.name}]
maximum-absent-hosts = ${pool.maximumAbsentHosts}
failure-reserve-hosts = ${pool.failureReserveHosts}
slots-per-host = ${SLOTS_PER_HOST}
slots-reserved-for-short = ${Math.floor((pool.hosts * SLOTS_PER_HOST) / 4)}
[services.${pool.name}]
pool = "${pool.name}"
default-deadline-ms = ${rules.defaultDeadlineMilliseconds}
long-work-threshold-ms = ${rules.longWorkThresholdMilliseconds}
silence-timeout-ms = ${rules.silenceTimeoutMilliseconds}
maximum-waiting = ${rules.maximumWaiting}`;
}

/** The base file of a layout whose hosts listen at these addresses. */
export function layoutToml(
  pools: readonly PoolLayout[],
  addresses: Readonly<Record<string, string>>,
  rules: ServiceRules,
): string {
  const racks = pools.flatMap((pool) =>
    Array.from({ length: Math.ceil(pool.hosts / HOSTS_PER_RACK) }, (_, index) =>
      rackOf(pool, addresses, index * HOSTS_PER_RACK),
    ),
  );
  const head = `[data-centres.centre-0]
region = "region"
[data-centres.centre-1]
region = "region"
[hardware.worker]
cores = 16
memory-gb = 64
[teams.everyone]
cores-quota = 64`;
  return [head, ...pools.map((pool) => poolToml(pool, rules)), ...racks].join('\n\n');
}
