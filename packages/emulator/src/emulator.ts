/** A system in virtual time: gateways, controllers, log, network and hosts, with faults at every interface. */
import {
  DEFAULT_PARAMETERS,
  emptyFoldState,
  foldFleetRecord,
  foldKeysRecord,
  type Effect,
  type FoldState,
  type Parameters,
  type State,
} from '@baobabdeck/core';
import type {
  JobRequest,
  LogRecord,
  PeerMessage,
  ProcessIdentity,
  ProcessRole,
  RecordBody,
  SectionChange,
} from '@baobabdeck/types';
import { createDecisionLog, type Violation } from './decision-log.js';
import { createLogAccess } from './log-access.js';
import { createRandom, type RandomSource } from './random.js';
import { createSchedule, type Schedule } from './schedule.js';
import { createVirtualAttempts } from './virtual-attempts.js';
import {
  createVirtualCallers,
  OK_STATUS,
  type CallerAnswer,
  type VirtualRequest,
} from './virtual-callers.js';
import { createVirtualHost, type VirtualHost } from './virtual-host.js';
import { createVirtualHostService } from './virtual-host-service.js';
import { createVirtualLog, type VirtualLog } from './virtual-log.js';
import { createVirtualNetwork } from './virtual-network.js';
import { createVirtualProcess, dateAt, type VirtualProcess } from './virtual-process.js';
import { createVirtualTasks, type VirtualTasks } from './virtual-tasks.js';

/** What a system is made of. */
export interface EmulatorOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly controllers: number;
  /** The first configuration. */
  readonly changes: readonly SectionChange[];
  readonly slotsPerHost: number;
  readonly parameters?: Partial<Parameters>;
  /** One way between processes, and between a gateway and a host. */
  readonly latencyMilliseconds?: number;
  readonly rebootMilliseconds?: number;
  /** How long a job really runs. */
  readonly jobMilliseconds?: (job: JobRequest) => number;
  /** Called with every message that leaves a process for another. */
  readonly onSend?: (message: PeerMessage) => void;
  readonly onStep?: (process: VirtualProcess, before: State, after: State) => void;
}

/** A system in virtual time. */
export interface Emulator {
  readonly schedule: Schedule;
  readonly random: RandomSource;
  readonly log: VirtualLog;
  readonly hosts: ReadonlyMap<string, VirtualHost>;
  readonly tasks: VirtualTasks;
  readonly processes: () => readonly VirtualProcess[];
  readonly process: (processId: string) => VirtualProcess | undefined;
  readonly gatewayIds: () => readonly string[];
  readonly start: (processId: string, role: ProcessRole) => VirtualProcess;
  readonly kill: (processId: string) => void;
  readonly submit: (gatewayId: string, request: VirtualRequest) => void;
  readonly cancel: (requestId: string) => void;
  readonly command: (body: RecordBody, id?: string) => void;
  /** Cuts the links between the processes of `group` and all others; null heals them. */
  readonly partition: (group: ReadonlySet<string> | null) => void;
  /** Cuts a process off the log. */
  readonly cutFromLog: (processId: string, cut: boolean) => void;
  /** Whether a caller still waits. */
  readonly isOpen: (requestId: string) => boolean;
  readonly answers: ReadonlyMap<string, CallerAnswer>;
  /** How often each piece of work started at any host. */
  readonly runs: ReadonlyMap<string, number>;
  readonly violations: readonly Violation[];
  readonly decisions: ReadonlyMap<string, number>;
  /** Attempts of all gateways so far. */
  readonly attemptCount: () => number;
  readonly peerMessageCount: () => number;
}

const LATENCY_MILLISECONDS = 1;
const REBOOT_MILLISECONDS = 3_000;
const JOB_MILLISECONDS = 5_000;

function foldAll(log: VirtualLog): FoldState {
  const empty = emptyFoldState();
  return {
    fleet: log.records('fleet').reduce((fleet, stored) => foldFleetRecord(fleet, stored).fleet, empty.fleet),
    keys: log.records('keys').reduce((keys, stored) => foldKeysRecord(keys, stored).keys, empty.keys),
  };
}

function hostIdsOf(changes: readonly SectionChange[]): readonly string[] {
  return changes.flatMap((change) =>
    change.sectionKind === 'racks' && change.section !== null ? change.section.hosts.map(({ id }) => id) : [],
  );
}

/** Creates a system; nothing has happened yet but the first publication. */
export function createEmulator(options: EmulatorOptions): Emulator {
  const schedule = createSchedule();
  const random = createRandom(options.seed);
  const log = createVirtualLog(schedule, random);
  const parameters = { ...DEFAULT_PARAMETERS, ...options.parameters };
  const latencyMilliseconds = options.latencyMilliseconds ?? LATENCY_MILLISECONDS;
  const rebootMilliseconds = options.rebootMilliseconds ?? REBOOT_MILLISECONDS;
  const counter = { runs: new Map<string, number>() };
  const hosts = new Map<string, VirtualHost>();
  const processes = new Map<string, VirtualProcess>();
  let incarnations = 0;
  let commands = 0;

  const tasks = createVirtualTasks({
    schedule,
    isUp: (hostId) => hosts.get(hostId)?.presence === 'live',
    runMilliseconds: options.jobMilliseconds ?? (() => JOB_MILLISECONDS),
  });
  const callers = createVirtualCallers(schedule);
  const attempts = createVirtualAttempts({ schedule, latencyMilliseconds, hosts, callers });
  const logAccess = createLogAccess(log, schedule);
  const hostService = createVirtualHostService({
    schedule,
    latencyMilliseconds,
    rebootMilliseconds,
    hosts,
    tasks,
  });
  const network = createVirtualNetwork({
    schedule,
    latencyMilliseconds,
    processes,
    onSend: (message) => options.onSend?.(message),
  });
  const decisionLog = createDecisionLog(schedule);

  const perform = (process: VirtualProcess, effect: Effect): void => {
    switch (effect.kind) {
      case 'append':
        logAccess.append(process, effect.stream, effect.record);
        break;
      case 'send':
        network.send(process, effect);
        break;
      case 'start-attempt':
        attempts.start(process, effect);
        break;
      case 'abort-attempt':
        attempts.abort(effect.attemptId);
        break;
      case 'forward-response':
        callers.answer(effect.requestId, {
          kind: 'answered',
          code: null,
          ran: null,
          status: OK_STATUS,
          answeredBy: effect.requestId,
        });
        break;
      case 'replay-answer':
        callers.answer(effect.requestId, {
          kind: 'replayed',
          code: null,
          ran: null,
          status: effect.answer.status,
          answeredBy: new TextDecoder().decode(effect.answer.body),
        });
        break;
      case 'refuse':
        callers.answer(effect.requestId, {
          kind: 'refused',
          code: effect.failure.code,
          ran: effect.ran,
          status: null,
          answeredBy: null,
        });
        break;
      case 'break-off-response':
        callers.breakOff(effect.requestId);
        break;
      case 'read-usage':
        hostService.readUsage(process, effect.hostIds);
        break;
      case 'reboot-host':
        hostService.reboot(effect.hostId);
        break;
      case 'start-task':
        schedule.after(latencyMilliseconds, () => tasks.start(effect.hostId, effect.leaseId, effect.job));
        break;
      case 'checkpoint-task':
        schedule.after(latencyMilliseconds, () => tasks.checkpoint(effect.leaseId));
        break;
      case 'stop-task':
        schedule.after(latencyMilliseconds, () => tasks.stop(effect.leaseId));
        break;
      case 'log':
        decisionLog.record(process, effect);
        break;
      default:
        break;
    }
  };

  const start = (processId: string, role: ProcessRole): VirtualProcess => {
    incarnations += 1;
    const identity: ProcessIdentity = {
      processId,
      incarnation: `incarnation-${incarnations}`,
      role,
      peerAddress: '127.0.0.1:1',
      adminAddress: '127.0.0.1:2',
      dataCentre: 'centre',
    };
    const process: VirtualProcess = createVirtualProcess({
      identity,
      parameters,
      fold: foldAll(log),
      schedule,
      perform: (effect) => perform(process, effect),
      onStep: (before, after) => options.onStep?.(process, before, after),
    });
    processes.set(processId, process);
    network.link(process);
    logAccess.follow(process, 'fleet');
    if (role === 'gateway') logAccess.follow(process, 'keys');
    else hostService.poll(process);
    return process;
  };

  const command = (body: RecordBody, id?: string): void => {
    commands += 1;
    const record: LogRecord = {
      id: id ?? `operator-${commands}`,
      issuer: 'operator',
      issuedAt: dateAt(schedule.now()),
      decidedAtOffset: log.records('fleet').length,
      body,
    };
    log.append('fleet', record, () => undefined);
  };

  hostIdsOf(options.changes).forEach((hostId) =>
    hosts.set(hostId, createVirtualHost(hostId, options.slotsPerHost, schedule, counter)),
  );
  command({ kind: 'configuration-published', expectedVersion: 0, changes: options.changes });
  schedule.runUntil(10);
  Array.from({ length: options.gateways }, (_, index) => start(`gateway-${index + 1}`, 'gateway'));
  Array.from({ length: options.controllers }, (_, index) => start(`controller-${index + 1}`, 'controller'));

  return {
    schedule,
    random,
    log,
    hosts,
    tasks,
    processes: () => [...processes.values()],
    process: (processId) => processes.get(processId),
    gatewayIds: () =>
      [...processes.values()]
        .filter((one) => one.identity.role === 'gateway' && one.isAlive())
        .map((one) => one.identity.processId),
    start,
    kill: (processId) => {
      processes.get(processId)?.kill();
      callers.breakOffAt(processId);
    },
    submit: (gatewayId, request) => {
      callers.open(request, gatewayId);
      processes.get(gatewayId)?.dispatch({ kind: 'request-arrived', request: request.description });
    },
    cancel: (requestId) => {
      const gatewayId = callers.gatewayOf(requestId);
      if (gatewayId === null) return;
      processes.get(gatewayId)?.dispatch({ kind: 'caller-left', requestId });
      callers.leave(requestId);
    },
    command,
    partition: network.partition,
    cutFromLog: logAccess.setCut,
    isOpen: callers.isOpen,
    answers: callers.answers,
    runs: counter.runs,
    violations: decisionLog.violations,
    decisions: decisionLog.decisions,
    attemptCount: callers.attemptCount,
    peerMessageCount: network.messageCount,
  };
}
