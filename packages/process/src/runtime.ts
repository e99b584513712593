/** Runtime of gateway and controller: connects the reducer to the log, peers, timers and the admin port. */
import { randomUUID } from 'node:crypto';
import {
  DEFAULT_PARAMETERS,
  explainHost,
  explainJob,
  explainPool,
  explainWave,
  initialState,
  selectReadiness,
  selectStatus,
  type Effect,
  type Explanation,
  type Parameters,
  type State,
} from '@baobabdeck/core';
import { listenForAdmin, type AdminServer, type Metrics, type WriteEvent } from '@baobabdeck/observability';
import { helloOf, listenForPeers, type SocketServer } from '@baobabdeck/peer-protocol';
import type { Platform } from '@baobabdeck/platform';
import type { ProcessSettings } from '@baobabdeck/settings';
import {
  systemClock,
  type Clock,
  type PeerMessage,
  type ProcessIdentity,
  type ProcessRole,
} from '@baobabdeck/types';
import { restoreFold } from './bootstrap.js';
import { createEventLoop, type EventBody, type EventLoop } from './event-loop.js';
import { createLogAccess, type LogAccess } from './log-access.js';
import { createPeerLinks, type PeerLinks } from './peer-links.js';
import { createPlatformEffects } from './platform-effects.js';
import { createSnapshotWriter } from './snapshot-writer.js';
import { createTimers, type Timers } from './timers.js';

/** Time between two ticks of the reducer. */
const TICK_MILLISECONDS = 250;

/** Dependencies of a runtime. */
export interface RuntimeParts {
  readonly role: ProcessRole;
  readonly settings: ProcessSettings;
  readonly platform: Platform;
  readonly metrics: Metrics;
  readonly writeEvent: WriteEvent;
  readonly clock?: Clock;
  /** Carries out effects that the runtime does not handle itself, such as effects on callers' requests. */
  readonly performOther: (effect: Effect) => void;
}

/** A running process. */
export interface Runtime {
  readonly identity: ProcessIdentity;
  readonly state: () => State;
  readonly dispatch: (event: EventBody) => boolean;
  /** Leaves the membership, waits a limited time until the log has recorded it and closes all resources. */
  readonly close: () => Promise<void>;
}

function parametersOf(settings: ProcessSettings): Parameters {
  return {
    ...DEFAULT_PARAMETERS,
    lapseTimeoutMilliseconds: settings['lapse-timeout-ms'],
    removalTimeoutMilliseconds: settings['removal-timeout-ms'],
    heartbeatIntervalMilliseconds: settings['heartbeat-interval-ms'],
    keyMemoryMilliseconds: settings['key-memory-seconds'] * 1_000,
    untimedKeyLimit: settings['untimed-key-limit'],
  };
}

function explain(state: State, kind: string, name: string): Explanation | null {
  const { fleet } = state.fold;
  if (kind === 'host') return explainHost(fleet, name);
  if (kind === 'pool') return explainPool(fleet, name);
  if (kind === 'job') return explainJob(fleet, name);
  return kind === 'wave' ? explainWave(fleet, name) : null;
}

/** Returns a function that updates the links if the members have changed since its last call. */
function createMemberFollower(loop: EventLoop, links: PeerLinks): () => void {
  let followed: State['fold']['fleet']['members'] | null = null;
  return () => {
    const { members } = loop.state().fold.fleet;
    if (followed === members) return;
    followed = members;
    links.follow([...members.values()].map((member) => member.identity));
  };
}

interface Running {
  readonly loop: EventLoop;
  readonly links: PeerLinks;
  readonly timers: Timers;
  readonly log: LogAccess;
  readonly peers: SocketServer;
  readonly admin: AdminServer;
  readonly ticking: NodeJS.Timeout;
}

/** Maximum time that a leaving process waits until its departure is recorded in the log. */
const LEAVE_WAIT_MILLISECONDS = 1_500;

async function closeRuntime(running: Running, platform: Platform): Promise<void> {
  const { loop, links, timers, log, peers, admin, ticking } = running;
  loop.dispatch({ kind: 'leave-requested' });
  const isMember = (): boolean => loop.state().fold.fleet.members.has(loop.state().identity.processId);
  const giveUpAt = Date.now() + LEAVE_WAIT_MILLISECONDS;
  const POLL_MILLISECONDS = 20;
  while (isMember() && Date.now() < giveUpAt) {
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MILLISECONDS);
    });
  }
  clearInterval(ticking);
  log.close();
  timers.close();
  links.close();
  peers.close();
  admin.close();
  await platform.close();
}

/** Opens the ports, restores the state from the log and joins the other processes. */
export async function startRuntime(parts: RuntimeParts): Promise<Runtime> {
  const { role, settings, platform, metrics, writeEvent, performOther } = parts;
  const clock = parts.clock ?? systemClock;
  const ip = settings['listen-ip'];
  const incarnation = randomUUID();
  const processId = settings['process-id'];

  let loop: EventLoop | null = null;
  const dispatch = (event: EventBody): boolean => loop?.dispatch(event) ?? true;

  const peers = await listenForPeers(ip, settings['peer-port'], {
    onLinked: (from) => {
      writeEvent('peerLinked', { from: from.processId });
      // Messages in either direction on an older connection to this peer may be lost.
      dispatch({ kind: 'peer-linked', processId: from.processId });
    },
    onMessage: (from, message) => {
      metrics.peerMessages.inc({ direction: 'in', kind: message.kind });
      return dispatch({
        kind: 'peer-message-received',
        from: from.processId,
        incarnation: from.incarnation,
        message,
      });
    },
    onFault: (remote, reason) => writeEvent('peerFault', { remote, reason }),
  });
  const admin = await listenForAdmin(ip, settings['admin-port'], {
    readiness: () =>
      loop === null
        ? { ready: false, reason: 'restoring the state from the log' }
        : selectReadiness(loop.state()),
    status: () =>
      loop === null
        ? { processId, role, readiness: { ready: false, reason: 'restoring the state from the log' } }
        : selectStatus(loop.state()),
    explain: (kind, name) => (loop === null ? null : explain(loop.state(), kind, name)),
    registry: metrics.registry,
  });
  const identity: ProcessIdentity = {
    processId,
    incarnation,
    role,
    peerAddress: `${ip}:${peers.port}`,
    adminAddress: `${ip}:${admin.port}`,
    dataCentre: settings['data-centre'],
  };
  writeEvent('processStarted', { ...identity });

  const fold = await restoreFold(platform, writeEvent, () => false);
  const running = createEventLoop({
    initial: initialState(identity, parametersOf(settings), fold, clock.now()),
    clock,
    metrics,
    writeEvent,
  });
  loop = running;
  const links = createPeerLinks(helloOf(processId, incarnation), (peer) =>
    dispatch({ kind: 'peer-linked', processId: peer }),
  );
  const timers = createTimers(clock.now, (timerId) => dispatch({ kind: 'timer-fired', timerId }));
  const followMembers = createMemberFollower(running, links);
  const snapshots = createSnapshotWriter({
    state: running.state,
    append: (stream, record) => log.append(stream, record),
    writeEvent,
    everyRecords: settings['snapshot-every-records'],
  });
  const log = createLogAccess({
    platform,
    clock,
    metrics,
    writeEvent,
    nextOffset: (stream) => running.state().fold[stream].nextOffset,
    handlers: {
      onRecords: (stream, records, readStartedAt) => {
        dispatch({ kind: 'records-read', stream, records, readStartedAt });
        followMembers();
        snapshots.observe(stream, records);
      },
      onReadFailed: (stream) => dispatch({ kind: 'stream-unreadable', stream }),
      onAppendSettled: (record, result) =>
        dispatch({ kind: 'append-settled', recordId: record.id, outcome: result.kind }),
    },
  });
  const platformEffects = createPlatformEffects({
    platform,
    writeEvent,
    dispatch,
    isController: role === 'controller',
    pollMilliseconds: settings['platform-poll-interval-ms'],
  });
  const send = (to: string, message: PeerMessage): void => {
    metrics.peerMessages.inc({ direction: 'out', kind: message.kind });
    links.send(to, message);
  };
  running.attach((effect) => {
    if (effect.kind === 'append') log.append(effect.stream, effect.record);
    else if (effect.kind === 'send') send(effect.to, effect.message);
    else if (effect.kind === 'set-timer') timers.set(effect.timerId, effect.at);
    else if (effect.kind === 'clear-timer') timers.clear(effect.timerId);
    else if (!platformEffects.perform(effect)) performOther(effect);
  });
  followMembers();
  log.follow('fleet');
  if (role === 'gateway') log.follow('keys');
  const ticking = setInterval(() => {
    dispatch({ kind: 'ticked' });
    platformEffects.poll();
    followMembers();
    const { fleet, keys } = running.state().fold;
    metrics.configurationVersion.set(fleet.configuration.version);
    metrics.foldedOffset.set({ stream: 'fleet' }, fleet.nextOffset);
    metrics.foldedOffset.set({ stream: 'keys' }, keys.nextOffset);
    metrics.ready.set(selectReadiness(running.state()).ready ? 1 : 0);
  }, TICK_MILLISECONDS);
  return {
    identity,
    state: running.state,
    dispatch,
    close: () => closeRuntime({ loop: running, links, timers, log, peers, admin, ticking }, platform),
  };
}
