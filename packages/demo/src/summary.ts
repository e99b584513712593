/** What the demo found, for a person to read and for the exit code. */
import type { TargetStub } from '@baobabdeck/target-stub';
import type { LoadReport } from './load.js';

/** How low a pool's availability went. */
export interface PoolLow {
  readonly pool: string;
  readonly hosts: number;
  readonly mostAbsent: number;
  readonly maximumAbsent: number;
}

/** Everything that the demo judges. */
export interface DemoFindings {
  readonly load: LoadReport;
  readonly targets: readonly TargetStub[];
  readonly pools: readonly PoolLow[];
  readonly hostsMaintained: number;
  readonly hostsInWave: number;
  readonly invariantViolations: number;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Orders that ran more than once, counted at the targets. */
export function countDuplicates({ load, targets }: DemoFindings): number {
  const runs = new Map<string, number>();
  targets.forEach((target) => {
    Object.entries(target.report().runs).forEach(([workId, count]) =>
      runs.set(workId, (runs.get(workId) ?? 0) + count),
    );
  });
  return [...load.orders].filter((workId) => (runs.get(workId) ?? 0) > 1).length;
}

/** Everything that must always hold and did not. */
export function findBroken(findings: DemoFindings): readonly string[] {
  const { pools, targets, hostsMaintained, hostsInWave, invariantViolations } = findings;
  const duplicates = countDuplicates(findings);
  const cut = targets.reduce((sum, target) => sum + target.report().cutByReboot, 0);
  const over = targets.filter((target) => target.report().queued > 0).length;
  const low = pools.filter((pool) => pool.mostAbsent > pool.maximumAbsent);
  return [
    ...(duplicates > 0 ? [`${duplicates} orders ran more than once`] : []),
    ...(cut > 0 ? [`reboots cut off ${cut} pieces of work`] : []),
    ...(over > 0 ? [`${over} hosts got work over their slots`] : []),
    ...low.map((pool) => `pool ${pool.pool} had ${pool.mostAbsent} absent hosts of ${pool.maximumAbsent}`),
    ...(hostsMaintained < hostsInWave
      ? [`the wave maintained ${hostsMaintained} of ${hostsInWave} hosts`]
      : []),
    ...(invariantViolations > 0 ? [`the programs reported ${invariantViolations} violations`] : []),
  ];
}

/** The summary, a line each. */
export function describeFindings(findings: DemoFindings): readonly string[] {
  const { load, pools, hostsMaintained, hostsInWave } = findings;
  const results = [...load.results].sort(([left], [right]) => (left < right ? -1 : 1));
  const total = results.reduce((sum, [, count]) => sum + count, 0);
  const P50 = 0.5;
  const P99 = 0.99;
  return [
    `requests: ${total}; by result: ${results.map(([result, count]) => `${result}: ${count}`).join(', ')}`,
    `wait of short work: p50 ${quantile(load.shortWaits, P50).toFixed(1)} ms, p99 ${quantile(load.shortWaits, P99).toFixed(1)} ms`,
    `hosts maintained: ${hostsMaintained} of ${hostsInWave}`,
    ...pools.map(
      ({ pool, hosts, mostAbsent, maximumAbsent }) =>
        `lowest availability of ${pool}: ${hosts - mostAbsent} of ${hosts} hosts (budget: ${hosts - maximumAbsent})`,
    ),
    `orders sent twice each: ${load.orders.size}; duplicates found: ${countDuplicates(findings)}`,
  ];
}
