/** One long random run: traffic, faults and maintenance at once, judged by what targets and callers saw. */
import { findStateFaults, snapshotFleet } from '@baobabdeck/core';
import { createEmulator, type Emulator } from './emulator.js';
import { fleetOf, requestOf } from './fleet-of.js';

/** One thing that is done to a running system. */
export type RunAction =
  | {
      readonly kind: 'traffic';
      readonly count: number;
      readonly runMilliseconds: number;
      readonly repeatable: boolean;
    }
  /** The same key at two gateways, the second time after a while. */
  | { readonly kind: 'repeat-key'; readonly afterMilliseconds: number; readonly runMilliseconds: number }
  | { readonly kind: 'kill-gateway'; readonly index: number; readonly backAfterMilliseconds: number }
  | { readonly kind: 'pause-gateway'; readonly index: number; readonly milliseconds: number }
  | { readonly kind: 'kill-controller'; readonly index: number; readonly backAfterMilliseconds: number }
  | { readonly kind: 'pause-controller'; readonly index: number; readonly milliseconds: number }
  | { readonly kind: 'cut-peers'; readonly size: number; readonly milliseconds: number }
  | { readonly kind: 'cut-from-log'; readonly index: number; readonly milliseconds: number }
  | { readonly kind: 'log-down'; readonly milliseconds: number }
  | { readonly kind: 'lose-answers'; readonly share: number; readonly milliseconds: number }
  | { readonly kind: 'host-fails'; readonly index: number; readonly milliseconds: number }
  | {
      readonly kind: 'host-misbehaves';
      readonly index: number;
      readonly behaviour: 'fails' | 'silent' | 'cuts';
      readonly milliseconds: number;
    }
  | { readonly kind: 'wave' }
  | { readonly kind: 'drain'; readonly index: number }
  | { readonly kind: 'move'; readonly index: number }
  | { readonly kind: 'return'; readonly index: number }
  | { readonly kind: 'cancel-all' }
  | {
      readonly kind: 'jobs';
      readonly count: number;
      readonly cores: number;
      readonly urgent: boolean;
      readonly repeatable: boolean;
    }
  | { readonly kind: 'cancel-jobs' }
  /** More work than slots, and one of the gateways that wait for them pauses. */
  | {
      readonly kind: 'pause-in-a-rush';
      readonly index: number;
      readonly count: number;
      readonly milliseconds: number;
    };

/** Actions, each with the time from the one before it. */
export interface TimedAction {
  readonly afterMilliseconds: number;
  readonly action: RunAction;
}

/** What a run found wrong, and how much it did. */
export interface RunReport {
  readonly faults: readonly string[];
  readonly requests: number;
  readonly events: number;
  readonly answered: number;
}

const GATEWAYS = 3;
const CONTROLLERS = 2;
const SLOTS_PER_HOST = 2;
const CORES_PER_HOST = 16;

/** Run time of the work of a rush, and the time after which a gateway pauses in it. */
const RUSH_MILLISECONDS = 900;
const RUSH_PAUSE_AFTER_MILLISECONDS = 850;

/** Names of jobs that may run once begin with this. */
const ONCE_PREFIX = 'once';
const POOLS = [
  {
    name: 'quotes',
    hosts: 5,
    pool: { slotsPerHost: SLOTS_PER_HOST, slotsReservedForShort: 2, maximumDrainedPerRack: 4 },
    service: { defaultDeadlineMilliseconds: 6_000 },
  },
  {
    name: 'orders',
    hosts: 4,
    pool: { slotsPerHost: SLOTS_PER_HOST, maximumDrainedPerRack: 4 },
    service: { defaultDeadlineMilliseconds: 6_000 },
  },
];
const HOST_IDS = POOLS.flatMap(({ name, hosts }) =>
  Array.from({ length: hosts }, (_, index) => `${name}-${index + 1}`),
);
const SETTLE_BEFORE_MILLISECONDS = 4_000;
const SETTLE_AFTER_MILLISECONDS = 60_000;

interface Sent {
  readonly requestId: string;
  readonly workId: string;
  readonly repeatable: boolean;
}

function at<T>(items: readonly T[], index: number): T | undefined {
  return items.length === 0 ? undefined : items[index % items.length];
}

function restartLater(
  emulator: Emulator,
  processId: string,
  role: 'gateway' | 'controller',
  milliseconds: number,
): void {
  emulator.kill(processId);
  emulator.schedule.after(milliseconds, () => {
    if (!emulator.log.conditions.down) emulator.start(processId, role);
    else emulator.schedule.after(milliseconds, () => emulator.start(processId, role));
  });
}

function pauseFor(emulator: Emulator, processId: string, milliseconds: number): void {
  const process = emulator.process(processId);
  process?.pause();
  emulator.schedule.after(milliseconds, () => process?.resume());
}

function createTraffic(emulator: Emulator, sent: Sent[]) {
  const send = (
    action: { readonly runMilliseconds: number },
    repeatable: boolean,
    key: string | null,
    gatewayId: string | undefined,
  ): void => {
    if (gatewayId === undefined) return;
    const requestId = `request-${sent.length}`;
    const service = sent.length % 3 === 0 ? 'orders' : 'quotes';
    const workId = key ?? requestId;
    sent.push({ requestId, workId, repeatable });
    const description = requestOf(requestId, key === null ? service : 'orders', {
      repeatable,
      caller: `caller-${sent.length % 4}`,
      keyHash: key,
      fingerprint: key ?? '',
    });
    emulator.submit(gatewayId, { description, runMilliseconds: action.runMilliseconds, workId });
  };
  return send;
}

function submitJob(
  emulator: Emulator,
  action: Extract<RunAction, { readonly kind: 'jobs' }>,
  index: number,
): void {
  const { cores, urgent, repeatable } = action;
  const name = repeatable ? 'job' : ONCE_PREFIX;
  const jobId = `${name}-${emulator.schedule.now()}-${index}`;
  const pool = at(POOLS, index)?.name ?? '';
  const job = {
    jobId,
    team: 'everyone',
    pool,
    cores,
    accelerators: 0,
    memoryGigabytes: 1,
    urgent,
    repeatable,
  };
  emulator.command({ kind: 'job-submitted', job });
}

function perform(emulator: Emulator, action: RunAction, sent: Sent[]): void {
  const { schedule, hosts, log } = emulator;
  const gateways = emulator.gatewayIds();
  const controllers = emulator
    .processes()
    .filter((one) => one.identity.role === 'controller' && one.isAlive());
  const send = createTraffic(emulator, sent);
  switch (action.kind) {
    case 'traffic':
      Array.from({ length: action.count }, (_, index) =>
        send(action, action.repeatable, null, at(gateways, index)),
      );
      break;
    case 'repeat-key': {
      const key = `key-${sent.length}`;
      send(action, false, key, at(gateways, sent.length));
      schedule.after(action.afterMilliseconds, () =>
        send(action, false, key, at(emulator.gatewayIds(), sent.length + 1)),
      );
      break;
    }
    case 'kill-gateway': {
      const gatewayId = at(gateways, action.index);
      if (gatewayId !== undefined) restartLater(emulator, gatewayId, 'gateway', action.backAfterMilliseconds);
      break;
    }
    case 'pause-in-a-rush': {
      const work = { runMilliseconds: RUSH_MILLISECONDS };
      Array.from({ length: action.count }, (_, index) => send(work, false, null, at(gateways, index)));
      const gatewayId = at(gateways, action.index);
      schedule.after(RUSH_PAUSE_AFTER_MILLISECONDS, () => {
        if (gatewayId !== undefined) pauseFor(emulator, gatewayId, action.milliseconds);
      });
      break;
    }
    case 'kill-controller': {
      const controller = at(controllers, action.index);
      if (controller !== undefined) {
        restartLater(emulator, controller.identity.processId, 'controller', action.backAfterMilliseconds);
      }
      break;
    }
    case 'pause-gateway': {
      const gatewayId = at(gateways, action.index);
      if (gatewayId !== undefined) pauseFor(emulator, gatewayId, action.milliseconds);
      break;
    }
    case 'pause-controller': {
      const controller = at(controllers, action.index);
      if (controller !== undefined) pauseFor(emulator, controller.identity.processId, action.milliseconds);
      break;
    }
    case 'cut-peers': {
      const ids = emulator.processes().map((one) => one.identity.processId);
      emulator.partition(new Set(ids.slice(0, action.size)));
      schedule.after(action.milliseconds, () => emulator.partition(null));
      break;
    }
    case 'cut-from-log': {
      const gatewayId = at(gateways, action.index);
      if (gatewayId === undefined) break;
      emulator.cutFromLog(gatewayId, true);
      schedule.after(action.milliseconds, () => emulator.cutFromLog(gatewayId, false));
      break;
    }
    case 'log-down':
      log.conditions.down = true;
      schedule.after(action.milliseconds, () => {
        log.conditions.down = false;
      });
      break;
    case 'lose-answers':
      log.conditions.loseAnswers = action.share;
      schedule.after(action.milliseconds, () => {
        log.conditions.loseAnswers = 0;
      });
      break;
    case 'host-fails': {
      const host = hosts.get(at(HOST_IDS, action.index) ?? '');
      if (host === undefined || host.presence === 'failed') break;
      host.stop(false);
      schedule.after(action.milliseconds, host.boot);
      break;
    }
    case 'host-misbehaves': {
      const host = hosts.get(at(HOST_IDS, action.index) ?? '');
      if (host === undefined) break;
      host.behaviour = action.behaviour;
      schedule.after(action.milliseconds, () => {
        host.behaviour = 'normal';
      });
      break;
    }
    case 'wave':
      emulator.command({
        kind: 'wave-started',
        plan: { waveId: `wave-${schedule.now()}`, hostIds: HOST_IDS },
      });
      break;
    case 'drain':
    case 'move': {
      const hostId = at(HOST_IDS, action.index) ?? '';
      const purpose = action.kind === 'move' ? 'move' : 'operator';
      const destinationPool = action.kind === 'move' ? (at(POOLS, action.index + 1)?.name ?? null) : null;
      emulator.command({
        kind: 'host-drain-requested',
        hostId,
        purpose,
        waveId: null,
        destinationPool,
        hostListAgeMilliseconds: 0,
        epoch: null,
      });
      break;
    }
    case 'return':
      emulator.command({ kind: 'host-returned', hostId: at(HOST_IDS, action.index) ?? '', epoch: null });
      break;
    case 'jobs':
      Array.from({ length: action.count }, (_, index) => submitJob(emulator, action, index));
      break;
    case 'cancel-jobs':
      emulator.tasks.list().forEach(({ jobId }) => emulator.command({ kind: 'job-cancelled', jobId }));
      break;
    default:
      sent.forEach(({ requestId }) => emulator.cancel(requestId));
  }
}

function judgeCallers(emulator: Emulator, sent: readonly Sent[]): readonly string[] {
  const faults: string[] = [];
  const workOf = new Map(sent.map(({ requestId, workId }) => [requestId, workId]));
  const saidNo = new Map<string, boolean>();
  sent.forEach(({ requestId, workId, repeatable }) => {
    const runs = emulator.runs.get(workId) ?? 0;
    if (!repeatable && runs > 1) faults.push(`${workId} is not repeatable and ran ${runs} times`);
    const answer = emulator.answers.get(requestId);
    const wrong =
      answer?.answeredBy !== null && answer !== undefined && workOf.get(answer.answeredBy) !== workId;
    if (wrong) faults.push(`${requestId} got the answer of ${String(answer.answeredBy)}`);
    saidNo.set(workId, (saidNo.get(workId) ?? true) && answer?.ran === 'no');
    if (answer?.ran === 'yes' && runs === 0) {
      faults.push(`${requestId} was told that its work ran; it did not`);
    }
  });
  saidNo.forEach((no, workId) => {
    if (no && (emulator.runs.get(workId) ?? 0) > 0) faults.push(`${workId} was refused as not run and ran`);
  });
  return faults;
}

function judgeJobs(emulator: Emulator): readonly string[] {
  return [...emulator.tasks.starts].flatMap(([jobId, count]) =>
    jobId.startsWith(ONCE_PREFIX) && count > 1 ? [`${jobId} may run once and started ${count} times`] : [],
  );
}

function judgeHosts(emulator: Emulator): readonly string[] {
  return [...emulator.hosts.values()].flatMap((host) => [
    ...(host.cutByReboot() > 0
      ? [`a planned reboot of ${host.hostId} cut off ${host.cutByReboot()} pieces of work`]
      : []),
    ...(emulator.tasks.coresInUse(host.hostId) > CORES_PER_HOST
      ? [`${host.hostId} runs jobs beyond its cores`]
      : []),
    ...(host.mostQueued() > 0
      ? [`${host.hostId} got ${host.mostQueued()} pieces of work over its slots`]
      : []),
  ]);
}

function judgeProcesses(emulator: Emulator): readonly string[] {
  const folds = new Map<number, string>();
  return emulator.processes().flatMap((process) => {
    if (!process.isAlive()) return [];
    const state = process.state();
    const faults = findStateFaults(state).map(
      (fault) => `${process.identity.processId}: ${fault.invariant} ${fault.detail}`,
    );
    const { nextOffset } = state.fold.fleet;
    const text = snapshotFleet(state.fold.fleet);
    const other = folds.get(nextOffset) ?? text;
    folds.set(nextOffset, text);
    return other === text
      ? faults
      : [...faults, `${process.identity.processId} folded something else at offset ${nextOffset}`];
  });
}

/** Runs a schedule from a seed to its end and judges it. */
export function runSchedule(seed: number, actions: readonly TimedAction[]): RunReport {
  const emulator = createEmulator({
    seed,
    gateways: GATEWAYS,
    controllers: CONTROLLERS,
    changes: fleetOf(POOLS),
    slotsPerHost: SLOTS_PER_HOST,
    rebootMilliseconds: 1_000,
  });
  const sent: Sent[] = [];
  let time = SETTLE_BEFORE_MILLISECONDS;
  emulator.schedule.runUntil(time);
  actions.forEach(({ afterMilliseconds, action }) => {
    time += afterMilliseconds;
    emulator.schedule.runUntil(time);
    perform(emulator, action, sent);
  });
  emulator.schedule.runUntil(time + SETTLE_AFTER_MILLISECONDS);
  const reported = emulator.violations.map(
    ({ processId, at: when, invariant, detail }) => `${processId} at ${when}: ${invariant} ${detail}`,
  );
  const unanswered = sent
    .filter(({ requestId }) => emulator.isOpen(requestId))
    .map(({ requestId }) => `${requestId} has no answer`);
  return {
    faults: [
      ...reported,
      ...judgeCallers(emulator, sent),
      ...judgeHosts(emulator),
      ...judgeJobs(emulator),
      ...judgeProcesses(emulator),
      ...unanswered,
    ],
    requests: sent.length,
    events: emulator.processes().reduce((sum, process) => sum + process.eventCount(), 0),
    answered: [...emulator.answers.values()].filter((answer) => answer.kind === 'answered').length,
  };
}
