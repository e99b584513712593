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
  RequestDescription,
  SectionChange,
  StreamName,
} from '@baobabdeck/types';
import { createRandom, type RandomSource } from './random.js';
import { createSchedule, type Schedule } from './schedule.js';
import { createVirtualHost, type HostOutcome, type VirtualHost } from './virtual-host.js';
import { createVirtualTasks, type VirtualTasks } from './virtual-tasks.js';
import { createVirtualLog, type VirtualLog } from './virtual-log.js';
import { createVirtualProcess, dateAt, type VirtualProcess } from './virtual-process.js';

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

/** How a caller's request ended. */
export interface CallerAnswer {
  readonly kind: 'answered' | 'replayed' | 'refused' | 'broken';
  readonly code: number | null;
  readonly ran: 'no' | 'unknown' | 'yes' | null;
  readonly status: number | null;
  readonly arrivedAt: number;
  /** When its first attempt started; null when none did. */
  readonly startedAt: number | null;
  readonly endedAt: number;
  readonly attempts: number;
  /** The request whose answer came; it must be the caller's own or one with the same key. */
  readonly answeredBy: string | null;
}

/** A request with the work behind it. */
export interface VirtualRequest {
  readonly description: RequestDescription;
  readonly runMilliseconds: number;
  /** What the targets count by; requests of one key share it. */
  readonly workId: string;
}

/** A broken rule that a process reported of itself. */
export interface Violation {
  readonly processId: string;
  readonly at: number;
  readonly invariant: string;
  readonly detail: string;
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
  /** Pieces of work that waited inside a host, over its slots. */
  readonly attemptCount: () => number;
  readonly peerMessageCount: () => number;
}

interface PendingCaller {
  readonly request: VirtualRequest;
  readonly gatewayId: string;
  readonly arrivedAt: number;
  startedAt: number | null;
  attempts: number;
}

const LATENCY_MILLISECONDS = 1;
const REBOOT_MILLISECONDS = 3_000;
const JOB_MILLISECONDS = 5_000;
const POLL_MILLISECONDS = 1_000;
const HOST_LIST_LAG_MILLISECONDS = 1_000;
const LOG_RETRY_MILLISECONDS = 250;
const OK_STATUS = 200;
const FAILED_STATUS = 500;

function foldAll(log: VirtualLog): FoldState {
  const empty = emptyFoldState();
  return {
    fleet: log.records('fleet').reduce((fleet, stored) => foldFleetRecord(fleet, stored).fleet, empty.fleet),
    keys: log.records('keys').reduce((keys, stored) => foldKeysRecord(keys, stored).keys, empty.keys),
  };
}

/** Creates a system; nothing has happened yet but the first publication. */
export function createEmulator(options: EmulatorOptions): Emulator {
  const schedule = createSchedule();
  const random = createRandom(options.seed);
  const log = createVirtualLog(schedule, random);
  const parameters = { ...DEFAULT_PARAMETERS, ...options.parameters };
  const latency = options.latencyMilliseconds ?? LATENCY_MILLISECONDS;
  const rebootMilliseconds = options.rebootMilliseconds ?? REBOOT_MILLISECONDS;
  const tasks = createVirtualTasks({
    schedule,
    isUp: (hostId) => hosts.get(hostId)?.presence === 'live',
    runMilliseconds: options.jobMilliseconds ?? (() => JOB_MILLISECONDS),
  });
  const counter = { runs: new Map<string, number>() };
  const hosts = new Map<string, VirtualHost>();
  const processes = new Map<string, VirtualProcess>();
  const callers = new Map<string, PendingCaller>();
  const answers = new Map<string, CallerAnswer>();
  const attempts = new Map<string, { aborted: boolean }>();
  const violations: Violation[] = [];
  const decisions = new Map<string, number>();
  const cutOff = new Set<string>();
  let group: ReadonlySet<string> | null = null;
  let incarnations = 0;
  let commands = 0;
  let peerMessages = 0;
  let attemptTotal = 0;

  const canTalk = (from: string, to: string): boolean => group === null || group.has(from) === group.has(to);
  const logReachable = (processId: string): boolean => !log.conditions.down && !cutOff.has(processId);

  const answer = (
    requestId: string,
    outcome: Pick<CallerAnswer, 'kind' | 'code' | 'ran' | 'status' | 'answeredBy'>,
  ): void => {
    const pending = callers.get(requestId);
    if (pending === undefined) return;
    callers.delete(requestId);
    const { arrivedAt, startedAt, attempts: count } = pending;
    answers.set(requestId, { ...outcome, arrivedAt, startedAt, attempts: count, endedAt: schedule.now() });
  };

  const startAttempt = (
    process: VirtualProcess,
    effect: Extract<Effect, { readonly kind: 'start-attempt' }>,
  ): void => {
    const { attemptId, requestId, target } = effect;
    const pending = callers.get(requestId);
    const host = hosts.get(target.hostId);
    if (pending === undefined || host === undefined) return;
    pending.startedAt ??= schedule.now();
    pending.attempts += 1;
    attemptTotal += 1;
    const attempt = { aborted: false };
    attempts.set(attemptId, attempt);
    const back = (run: () => void): void =>
      schedule.after(latency, () => {
        if (!attempt.aborted) run();
      });
    const done = (outcome: HostOutcome): void =>
      back(() => {
        if (outcome === 'cut' || outcome === 'unreachable') {
          process.dispatch({
            kind: 'attempt-failed',
            attemptId,
            stage: outcome === 'cut' ? 'after-sending' : 'before-sending',
            bodyReplayable: true,
            reason: 'cut off',
          });
          return;
        }
        const status = outcome === 'done' ? OK_STATUS : FAILED_STATUS;
        process.dispatch({ kind: 'attempt-responded', attemptId, status });
        const body = new TextEncoder().encode(requestId);
        process.dispatch({
          kind: 'attempt-completed',
          attemptId,
          status,
          answer: { status, headers: [], body },
        });
      });
    schedule.after(latency, () =>
      host.submit({
        workId: pending.request.workId,
        runMilliseconds: pending.request.runMilliseconds,
        onDone: done,
      }),
    );
  };

  const append = (process: VirtualProcess, stream: StreamName, record: LogRecord): void => {
    const { processId } = process.identity;
    if (!logReachable(processId)) {
      schedule.after(LOG_RETRY_MILLISECONDS, () =>
        process.dispatch({ kind: 'append-settled', recordId: record.id, outcome: 'refused' }),
      );
      return;
    }
    log.append(stream, record, (outcome) => {
      const pause = outcome === 'stored' ? 0 : LOG_RETRY_MILLISECONDS;
      schedule.after(pause, () => process.dispatch({ kind: 'append-settled', recordId: record.id, outcome }));
    });
  };

  const readUsage = (process: VirtualProcess, hostIds: readonly string[]): void => {
    schedule.after(latency, () => {
      const asOf = dateAt(schedule.now());
      const usage = hostIds.map((hostId) => ({ hostId, runningRequests: hosts.get(hostId)?.running() ?? 0 }));
      schedule.after(latency, () => process.dispatch({ kind: 'usage-read', asOf, usage }));
    });
  };

  const reboot = (hostId: string): void => {
    const host = hosts.get(hostId);
    if (host === undefined || host.presence === 'failed') return;
    host.stop(true);
    schedule.after(rebootMilliseconds, host.boot);
  };

  const send = (
    from: VirtualProcess,
    to: string,
    message: Extract<Effect, { readonly kind: 'send' }>['message'],
  ): void => {
    const receiver = processes.get(to);
    const { processId, incarnation } = from.identity;
    if (receiver === undefined || !canTalk(processId, to)) return;
    peerMessages += 1;
    options.onSend?.(message);
    schedule.after(latency, () =>
      receiver.dispatch({ kind: 'peer-message-received', from: processId, incarnation, message }),
    );
  };

  const noteDecision = (process: VirtualProcess, effect: Extract<Effect, { readonly kind: 'log' }>): void => {
    decisions.set(effect.decision, (decisions.get(effect.decision) ?? 0) + 1);
    if (effect.decision !== 'invariantViolated') return;
    const { invariant, detail } = effect.fields;
    violations.push({
      processId: process.identity.processId,
      at: schedule.now(),
      invariant: String(invariant),
      detail: String(detail),
    });
  };

  const perform = (process: VirtualProcess, effect: Effect): void => {
    switch (effect.kind) {
      case 'append':
        append(process, effect.stream, effect.record);
        break;
      case 'send':
        send(process, effect.to, effect.message);
        break;
      case 'start-attempt':
        startAttempt(process, effect);
        break;
      case 'abort-attempt':
        Object.assign(attempts.get(effect.attemptId) ?? {}, { aborted: true });
        break;
      case 'forward-response':
        answer(effect.requestId, {
          kind: 'answered',
          code: null,
          ran: null,
          status: OK_STATUS,
          answeredBy: effect.requestId,
        });
        break;
      case 'replay-answer':
        answer(effect.requestId, {
          kind: 'replayed',
          code: null,
          ran: null,
          status: effect.answer.status,
          answeredBy: new TextDecoder().decode(effect.answer.body),
        });
        break;
      case 'refuse':
        answer(effect.requestId, {
          kind: 'refused',
          code: effect.failure.code,
          ran: effect.ran,
          status: null,
          answeredBy: null,
        });
        break;
      case 'break-off-response':
        answer(effect.requestId, { kind: 'broken', code: null, ran: null, status: null, answeredBy: null });
        break;
      case 'read-usage':
        readUsage(process, effect.hostIds);
        break;
      case 'reboot-host':
        reboot(effect.hostId);
        break;
      case 'start-task':
        schedule.after(latency, () => tasks.start(effect.hostId, effect.leaseId, effect.job));
        break;
      case 'checkpoint-task':
        schedule.after(latency, () => tasks.checkpoint(effect.leaseId));
        break;
      case 'stop-task':
        schedule.after(latency, () => tasks.stop(effect.leaseId));
        break;
      case 'log':
        noteDecision(process, effect);
        break;
      default:
        break;
    }
  };

  /** One long poll of one stream, again and again. */
  const follow = (process: VirtualProcess, stream: StreamName): void => {
    const { processId } = process.identity;
    let sentAt = schedule.now();
    let round = 0;
    const finish = (mine: number): void => process.whenRunning(() => read(mine));
    const read = (mine: number): void => {
      if (mine !== round || !process.isAlive()) return;
      round += 1;
      const next = round;
      if (!logReachable(processId)) {
        process.dispatch({ kind: 'stream-unreadable', stream });
        sentAt = schedule.now() + LOG_RETRY_MILLISECONDS;
        schedule.after(LOG_RETRY_MILLISECONDS, () => finish(next));
        return;
      }
      const readStartedAt = dateAt(sentAt);
      const from = process.state().fold[stream].nextOffset;
      const records = log.records(stream).slice(from);
      sentAt = schedule.now();
      process.dispatch({ kind: 'records-read', stream, records, readStartedAt });
      schedule.after(POLL_MILLISECONDS, () => finish(next));
    };
    log.onStored((stored) => {
      if (stored !== stream || !process.isAlive()) return;
      const mine = round;
      schedule.after(log.conditions.latencyMilliseconds, () => finish(mine));
    });
    schedule.after(log.conditions.latencyMilliseconds, () => finish(0));
  };

  const pollHosts = (process: VirtualProcess, known: ReadonlyMap<string, string> = new Map()): void => {
    if (!process.isAlive()) return;
    const asOf = dateAt(schedule.now());
    const seen = new Map(
      [...hosts.values()].map((host) => [host.hostId, `${host.presence} ${host.bootedAt}`]),
    );
    const listed = [...hosts.values()]
      .filter((host) => known.get(host.hostId) !== seen.get(host.hostId))
      .map(({ hostId, presence, bootedAt }) => ({ hostId, presence, bootedAt: dateAt(bootedAt) }));
    schedule.after(HOST_LIST_LAG_MILLISECONDS, () =>
      process.dispatch({ kind: 'host-list-read', asOf, hosts: listed }),
    );
    const listing = tasks.list();
    schedule.after(latency, () => process.dispatch({ kind: 'tasks-read', tasks: listing }));
    schedule.after(POLL_MILLISECONDS, () => pollHosts(process, seen));
  };

  const link = (process: VirtualProcess): void => {
    processes.forEach((other) => {
      if (other === process) return;
      other.dispatch({ kind: 'peer-linked', processId: process.identity.processId });
      process.dispatch({ kind: 'peer-linked', processId: other.identity.processId });
    });
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
    link(process);
    follow(process, 'fleet');
    if (role === 'gateway') follow(process, 'keys');
    else pollHosts(process);
    return process;
  };

  const breakCallers = (processId: string): void => {
    [...callers]
      .filter(([, pending]) => pending.gatewayId === processId)
      .forEach(([requestId]) =>
        answer(requestId, { kind: 'broken', code: null, ran: null, status: null, answeredBy: null }),
      );
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

  options.changes.forEach((change) => {
    if (change.sectionKind !== 'racks' || change.section === null) return;
    change.section.hosts.forEach(({ id }) =>
      hosts.set(id, createVirtualHost(id, options.slotsPerHost, schedule, counter)),
    );
  });
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
      breakCallers(processId);
    },
    submit: (gatewayId, request) => {
      const { requestId } = request.description;
      callers.set(requestId, { request, gatewayId, arrivedAt: schedule.now(), startedAt: null, attempts: 0 });
      processes.get(gatewayId)?.dispatch({ kind: 'request-arrived', request: request.description });
    },
    cancel: (requestId) => {
      const pending = callers.get(requestId);
      if (pending === undefined) return;
      processes.get(pending.gatewayId)?.dispatch({ kind: 'caller-left', requestId });
      callers.delete(requestId);
    },
    command,
    partition: (cut) => {
      group = cut;
      if (cut === null) processes.forEach(link);
    },
    cutFromLog: (processId, cut) => {
      if (cut) cutOff.add(processId);
      else cutOff.delete(processId);
    },
    isOpen: (requestId) => callers.has(requestId),
    answers,
    runs: counter.runs,
    violations,
    decisions,
    attemptCount: () => attemptTotal,
    peerMessageCount: () => peerMessages,
  };
}
