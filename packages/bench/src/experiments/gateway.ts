/** The gateway beside the direct call: requests a second, added time and memory for each open request. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { readAdmin, startSystem, type LaunchedProcess, type LocalSystem } from '@baobabdeck/local-system';
import { figure, type Experiment, type PolicyResult } from '../experiment.js';
import { quantilesOf, type Quantiles } from '../quantiles.js';

const CONCURRENCY = 16;
const ROUNDS = 4;
const REQUESTS_PER_ROUND = 3_000;
const OPEN_REQUESTS = 400;
const OPEN_MILLISECONDS = 3_000;
const KIBIBYTE = 1_024;
const MEBIBYTE = 1_048_576;

interface Measured extends Quantiles {
  readonly perSecond: number;
}

async function callMany(agent: Agent, url: string): Promise<Measured> {
  const times: number[] = [];
  let left = REQUESTS_PER_ROUND;
  const startedAt = performance.now();
  const callOne = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const sentAt = performance.now();
      const response = await request(url, { dispatcher: agent });
      await response.body.dump();
      times.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, callOne));
  const seconds = (performance.now() - startedAt) / 1_000;
  return { ...quantilesOf(times), perSecond: REQUESTS_PER_ROUND / seconds };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

async function readResident({ announced }: LaunchedProcess): Promise<number> {
  const address = String(announced.adminAddress);
  const response = await request(`http://${address}/metrics`);
  const text = await response.body.text();
  return Number(/^process_resident_memory_bytes (\d+)/m.exec(text)?.[1] ?? 0);
}

async function measureOpen(gatewayProcess: LaunchedProcess, agent: Agent, url: string): Promise<number> {
  const before = await readResident(gatewayProcess);
  const open = Array.from({ length: OPEN_REQUESTS }, async () => {
    const response = await request(`${url}?ms=${OPEN_MILLISECONDS}`, { dispatcher: agent });
    await response.body.dump();
  });
  await sleep(OPEN_MILLISECONDS / 2);
  const during = await readResident(gatewayProcess);
  await Promise.all(open);
  return Math.max(0, during - before) / OPEN_REQUESTS / KIBIBYTE;
}

function rowOf(policy: string, rounds: readonly Measured[], extra: PolicyResult['figures']): PolicyResult {
  return {
    user: `${CONCURRENCY} callers`,
    policy,
    figures: [
      figure('requests', median(rounds.map((round) => round.perSecond)), '/s'),
      figure('p50', median(rounds.map((round) => round.p50)), 'ms'),
      figure('p99', median(rounds.map((round) => round.p99)), 'ms'),
      ...extra,
    ],
  };
}

async function measure(system: LocalSystem): Promise<readonly PolicyResult[]> {
  const agent = new Agent({ connections: OPEN_REQUESTS });
  const through = `${system.gatewayUrls()[0] ?? ''}/quotes/price`;
  const direct = `http://127.0.0.1:${system.targets.get('quotes-1')?.port ?? 0}/price`;
  const throughRounds: Measured[] = [];
  const directRounds: Measured[] = [];
  await callMany(agent, through);
  await callMany(agent, direct);
  // In turns, so that a drift of the machine's speed meets both.
  for (let round = 0; round < ROUNDS; round += 1) {
    throughRounds.push(await callMany(agent, through));
    directRounds.push(await callMany(agent, direct));
  }
  const [gatewayProcess] = system.gateways;
  const [controllerProcess] = system.controllers;
  if (gatewayProcess === undefined || controllerProcess === undefined) {
    throw new Error('a process is missing');
  }
  const memory = await measureOpen(gatewayProcess, agent, through);
  const gatewayMegabytes = (await readResident(gatewayProcess)) / MEBIBYTE;
  const controllerMegabytes = (await readResident(controllerProcess)) / MEBIBYTE;
  const status = await readAdmin(system.gateways[0]?.announced.adminAddress, '/status');
  if (status?.requestsInProgress !== 0) throw new Error('requests are left over at the gateway');
  await agent.close();
  const ratio = median(
    throughRounds.map((round, index) => round.perSecond / (directRounds[index]?.perSecond ?? 1)),
  );
  const added = median(throughRounds.map((round, index) => round.p50 - (directRounds[index]?.p50 ?? 0)));
  return [
    rowOf('direct', directRounds, []),
    rowOf('gateway', throughRounds, [
      figure('requests beside direct', ratio, ''),
      figure('p50 added', added, 'ms'),
      figure('memory for an open request', memory, 'KiB'),
      figure('resident memory of the gateway', gatewayMegabytes, 'MiB'),
      figure('resident memory of the controller', controllerMegabytes, 'MiB'),
    ]),
  ];
}

/** `npm run bench -- gateway`. */
export const gateway: Experiment = {
  name: 'gateway',
  description: 'a gateway process beside the direct call, in turns in one run',
  policies: ['direct', 'gateway'],
  run: async () => {
    const system = await startSystem({
      pools: [{ name: 'quotes', hosts: 8, maximumAbsentHosts: 2, failureReserveHosts: 1 }],
      gateways: 1,
      controllers: 1,
      settings: { BAOBABDECK_LOG_LEVEL: 'warn' },
    });
    try {
      return await measure(system);
    } finally {
      await system.close();
    }
  },
};
