/** Starts processes of the deployed program with the command of the deploy file, and ends them. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { call, freePorts, LOOPBACK } from './http.mjs';

const ROOT = resolve(import.meta.dirname, '..', '..');

/** Bounds of skami-deck, the site that the claims name. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  gracePeriodS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  recoveryS: 12,
  maxHoldMs: 10000,
  stopMs: 400,
  gangTimeoutMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  remoteFactor: 1.5,
  checkpointIntervalS: 2,
  restoreMs: 250,
  noticeMs: 4500,
  moveS: 1.5,
  upkeepS: 2,
  fencingEnforced: true,
  leaseMs: 3000,
  thawSlackMs: 300,
  paceMs: 100,
  harmMs: 4000,
};

function commandOfDeployFile() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

function settingsOf(index, [frontend, readiness, peer, metrics], { store, cloud }) {
  return {
    nodeName: `frontend-${index + 1}`,
    role: 'scheduler',
    machineClass: 'frontend',
    serves: ['frontend'],
    ip: LOOPBACK,
    zone: `zone-${index % 2}`,
    region: 'region-1',
    zones: { 'zone-0': 'region-1', 'zone-1': 'region-1' },
    listenAddrs: { frontend: `${LOOPBACK}:${frontend}`, readiness: `${LOOPBACK}:${readiness}` },
    internalPorts: [peer, metrics],
    seeds: [],
    bootstrap: true,
    inTolerance: false,
    limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
    dataDir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeatMs: 1500,
    contracts: [
      'base',
      'drain',
      'config',
      'cost',
      'recover',
      'sched',
      'platform',
      'advice',
      'upkeep',
      'sharing',
    ],
    faultTolerance: { machines: 2, zones: 0, regions: 0 },
    bounds: BOUNDS,
    orders: 'invocation',
    advice: null,
    platform: {
      address: store,
      form: 'log',
      writesPerS: 600,
      readsPerS: 2000,
      parts: 12,
      appendMs: 2,
      partMbS: 20,
      readMbS: 80,
      recordBytes: 262144,
      requestBytes: 2097152,
      keep_s: 300,
      partitionMb: 200,
      minTtlMs: 1000,
    },
    cloudApi: { address: cloud, ratePerS: 64, duties: [], dutyPerS: 64 },
  };
}

/** Prepares `count` processes in a temporary folder; `start` starts one, `signal` sends a signal to it. */
export async function prepareSystem({ count, store, cloud, logFolder = null }) {
  const folder = mkdtempSync(join(tmpdir(), 'case-'));
  const ports = await freePorts(count * 4);
  const [program, ...parameters] = commandOfDeployFile();
  const nodes = Array.from({ length: count }, (_, index) => {
    const own = ports.slice(index * 4, index * 4 + 4);
    const path = join(folder, `node-${index}.json`);
    writeFileSync(path, JSON.stringify(settingsOf(index, own, { store, cloud })));
    const [frontend, readiness] = own;
    return { index, name: `frontend-${index + 1}`, path, frontend, readiness, child: null };
  });

  const start = (node) => {
    const output = logFolder === null ? 'ignore' : openSync(join(logFolder, `${node.name}.log`), 'a');
    node.child = spawn(program, parameters, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', BAOBABDECK_SETTINGS: node.path },
      stdio: ['ignore', output, output],
    });
    node.exited = new Promise((settle) => {
      node.child.once('exit', (code, signal) => settle({ code, signal, at: performance.now() }));
    });
  };

  const isReady = async (node) => {
    const answer = await call({
      port: node.readiness,
      method: 'GET',
      path: '/readyz',
      timeoutMilliseconds: 500,
    });
    return answer.status === 200;
  };

  return {
    nodes,
    start,
    isReady,
    end: () => {
      nodes.forEach(({ child }) => {
        if (child !== null && child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
      });
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
