/** What the programs' work costs as the fleet grows: processor time, bytes and memory at three sizes. */
import {
  emptyFoldState,
  foldFleetRecord,
  restoreFleet,
  snapshotFleet,
  type FleetState,
  type State,
} from '@baobabdeck/core';
import { createEmulator, fleetOf, requestOf, type Emulator } from '@baobabdeck/emulator';
import { encodeFrame } from '@baobabdeck/peer-protocol';
import type { LogRecord, PeerMessage } from '@baobabdeck/types';
import { figure, type Experiment, type PolicyResult } from '../experiment.js';
import { quantilesOf } from '../quantiles.js';

interface FleetSize {
  readonly hosts: number;
  readonly pools: number;
}

const SIZES: readonly FleetSize[] = [
  { hosts: 40, pools: 5 },
  { hosts: 1_000, pools: 43 },
  { hosts: 10_000, pools: 43 },
];

/** Entry hosts, each with a gateway and a controller. */
const ENTRY_HOSTS = 7;

/** Time after which the first look at every host is over. */
const WARM_UP_MILLISECONDS = 20_000;
const QUIET_MILLISECONDS = 10_000;
const REQUESTS = 2_000;
const MICROSECONDS = 1_000;
const FOLDS = 2_000;

function startSized(
  { hosts, pools }: FleetSize,
  onSend: (message: PeerMessage) => void = () => undefined,
): Emulator {
  const layout = Array.from({ length: pools }, (_, index) => ({
    name: `pool-${index}`,
    hosts: Math.floor(hosts / pools) + (index < hosts % pools ? 1 : 0),
  }));
  const emulator = createEmulator({
    seed: 1,
    gateways: ENTRY_HOSTS,
    controllers: ENTRY_HOSTS,
    changes: fleetOf(layout),
    slotsPerHost: 8,
    onSend,
  });
  emulator.schedule.runUntil(WARM_UP_MILLISECONDS);
  return emulator;
}

/** Processor time of all processes for a stretch without requests, in milliseconds a second and process. */
function measureQuiet(emulator: Emulator): number {
  const processes = emulator.processes().length;
  const before = process.cpuUsage();
  emulator.schedule.runUntil(emulator.schedule.now() + QUIET_MILLISECONDS);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / MICROSECONDS / (QUIET_MILLISECONDS / 1_000) / processes;
}

/** Processor time of one request through every process that it touches, in microseconds. */
function measureRequests(emulator: Emulator, pools: number): number {
  const before = process.cpuUsage();
  const ids = emulator.gatewayIds();
  for (let index = 0; index < REQUESTS; index += 1) {
    emulator.schedule.after(index * 2, () => {
      const description = requestOf(`request-${index}`, `pool-${index % pools}`);
      emulator.submit(ids[index % ids.length] ?? '', {
        description,
        runMilliseconds: 10,
        workId: `request-${index}`,
      });
    });
  }
  const quietShare = emulator.schedule.now();
  emulator.schedule.runUntil(quietShare + REQUESTS * 2 + 100);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / REQUESTS;
}

function drainRecord(fleet: FleetState, hostId: string, index: number): LogRecord {
  return {
    id: `slope-${index}`,
    issuer: 'operator',
    issuedAt: new Date(0),
    decidedAtOffset: fleet.nextOffset,
    body: { kind: 'host-presence-observed', hostId, presence: index % 2 === 0 ? 'failed' : 'live' },
  };
}

/** Time of one fold, in microseconds. */
function measureFold(state: State): number {
  const hostIds = [...state.fold.fleet.hosts.keys()];
  const times: number[] = [];
  let { fleet } = state.fold;
  for (let index = 0; index < FOLDS; index += 1) {
    const record = drainRecord(fleet, hostIds[index % hostIds.length] ?? '', index);
    const startedAt = performance.now();
    fleet = foldFleetRecord(fleet, { offset: fleet.nextOffset, record }).fleet;
    times.push(performance.now() - startedAt);
  }
  return quantilesOf(times).p50 * MICROSECONDS;
}

interface SnapshotCost {
  readonly bytes: number;
  readonly restoreMilliseconds: number;
  readonly heapMegabytes: number;
}

const MEGABYTE = 1_048_576;

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureSnapshot(state: State): SnapshotCost {
  const text = snapshotFleet(state.fold.fleet);
  const before = heapBytes();
  const startedAt = performance.now();
  const restored = restoreFleet(text);
  const restoreMilliseconds = performance.now() - startedAt;
  const after = heapBytes();
  if (restored.nextOffset !== state.fold.fleet.nextOffset) throw new Error('the snapshot lost its offset');
  return {
    bytes: Buffer.byteLength(text),
    restoreMilliseconds,
    heapMegabytes: (after - before) / MEGABYTE,
  };
}

function measureSize(size: FleetSize): PolicyResult {
  let sentBytes = 0;
  const emulator = startSized(size, (message) => {
    sentBytes += encodeFrame(message).length;
  });
  sentBytes = 0;
  const quiet = measureQuiet(emulator);
  const bytesPerSecond = sentBytes / (QUIET_MILLISECONDS / 1_000) / emulator.processes().length;
  const perRequest = measureRequests(emulator, size.pools);
  const state = emulator.process('controller-1')?.state();
  const fold = state === undefined ? 0 : measureFold(state);
  const snapshot =
    state === undefined ? { bytes: 0, restoreMilliseconds: 0, heapMegabytes: 0 } : measureSnapshot(state);
  const BOUND_MILLISECONDS = 13;
  const BOUND_MEGABYTES = 128;
  const BOUND_KIBIBYTES = 30;
  return {
    user: `${size.hosts} hosts, ${size.pools} pools`,
    policy: 'system',
    figures: [
      figure('quiet processor time', quiet, 'ms/s a process', BOUND_MILLISECONDS),
      figure('peer bytes sent', bytesPerSecond / 1_024, 'KiB/s a process', BOUND_KIBIBYTES),
      figure('processor time of a request', perRequest, 'us'),
      figure('one fold p50', fold, 'us'),
      figure('snapshot', snapshot.bytes / 1_024, 'KiB'),
      figure('restore', snapshot.restoreMilliseconds, 'ms'),
      figure('heap of the fold', snapshot.heapMegabytes, 'MiB', BOUND_MEGABYTES),
    ],
  };
}

/** `npm run bench -- slopes`. */
export const slopes: Experiment = {
  name: 'slopes',
  description: 'processor time, bytes and memory at 40, 1,000 and 10,000 hosts',
  policies: ['system'],
  run: async () => {
    // A fold of nothing warms the code up, so that the smallest size is not charged for it.
    foldFleetRecord(emptyFoldState().fleet, { offset: 0, record: null });
    startSized({ hosts: 40, pools: 5 });
    return SIZES.map(measureSize);
  },
};
