/**
 * Plays a synthetic burst through the scheduler of a fictitious service, in virtual time and without any I/O. The
 * engine compiles code only once it has run often; without this play a new owner meets its first burst with code that
 * takes several times as long.
 */
import {
  PLAIN_STEP,
  reduceService,
  restoreService,
  selectQueueStatistics,
  selectServiceReport,
  type JobRequest,
  type SchedulingParameters,
  type ServiceEffect,
  type ServiceRecord,
  type ServiceState,
  type StoredServiceRecord,
} from '@baobabdeck/scheduling';
import { runSteps } from '@baobabdeck/types';
import { decodeRecord, encodeRecord } from '../owner/record-codec.js';
import type { ServiceEventBody } from '../owner/service-owner.js';
import { createModelWorkers } from './model-workers.js';

const SERVICE = 'warm-up';
const WORKERS = 12;
const JOBS = 160;
const TASKS_PER_STEP = 6;

/** Every job of this number, counted from the first, is cancelled while it runs. */
const CANCELLED_JOB_INTERVAL = 16;

const ROUND_MILLISECONDS = 10;
const ROUNDS_PER_TICK = 10;
const ROUNDS_PER_HOST_REPORT = 12;

/** Virtual time after which the play ends even if jobs are left. */
const LONGEST_PLAY_MILLISECONDS = 20_000;

/** Longest wait of a worker for a run end before it answers a renewal. */
const REPORT_WAIT_MILLISECONDS = 500;

const STEP = { ...PLAIN_STEP, taskCount: TASKS_PER_STEP, estimatedMilliseconds: 150 };

type EffectOf<K extends ServiceEffect['kind']> = Extract<ServiceEffect, { readonly kind: K }>;

/** What a play has done. */
export interface WarmUpResult {
  readonly events: number;
  readonly completedJobs: number;
  readonly cancelledJobs: number;
}

function jobOf(number: number, acceptedAt: Date): JobRequest {
  return {
    jobId: number.toString(16).padStart(16, '0'),
    service: SERVICE,
    queue: SERVICE,
    specification: 'warm-up',
    steps: number % 2 === 0 ? [STEP, { ...STEP, after: [0] }] : [STEP],
    repetition: null,
    priority: number % 2,
    maximumFailedRuns: 3,
    stretch: 2,
    targetMilliseconds: 500,
    advice: null,
    ageMilliseconds: 0,
    acceptedAt,
  };
}

/** Encodes and decodes a record, as the store does between a front end and the owner. */
function passThroughCodec(record: ServiceRecord, offset: number): readonly StoredServiceRecord[] {
  return encodeRecord(record).flatMap((keyed) => {
    const decoded = decodeRecord({ ...keyed, offset });
    return decoded.kind === 'record' ? [decoded.stored] : [];
  });
}

/** Plays the load; yields after each event. The play has no effect outside itself. */
export function* playWarmUp(
  parameters: SchedulingParameters,
  timeOfDay: Date,
): Generator<void, WarmUpResult, void> {
  const workers = createModelWorkers(WORKERS);
  let now = 0;
  let events = 0;
  let jobCount = 0;
  let offset = 0;
  let renewals: readonly (EffectOf<'renew-lease'> & { readonly askedAt: number })[] = [];
  let pendingEvents: readonly ServiceEventBody[] = [];
  let state: ServiceState = restoreService({
    service: SERVICE,
    parameters,
    fencingEpoch: 1,
    now,
    timeOfDay,
    claimedAt: now,
    provenAt: now,
    records: [],
  }).state;

  const answer = (effect: ServiceEffect): readonly ServiceEventBody[] => {
    switch (effect.kind) {
      case 'store-records':
        effect.records.forEach((record) => passThroughCodec(record, offset));
        return [{ kind: 'records-stored', appendId: effect.appendId, askedAt: now }];
      case 'start-run':
        workers.start(effect.address, now);
        return [
          { kind: 'start-settled', address: effect.address, outcome: 'started', clockMilliseconds: now },
        ];
      case 'stop-run':
        workers.stop(effect.address, now);
        return [{ kind: 'stop-settled', address: effect.address, outcome: 'accepted' }];
      case 'renew-lease':
        renewals = [...renewals, { ...effect, askedAt: now }];
        return [];
      default:
        return [];
    }
  };

  const isDue = ({
    workerId,
    acknowledgedEnd,
    waitMilliseconds,
    askedAt,
  }: (typeof renewals)[number]): boolean =>
    workers.hasEnds(workerId, acknowledgedEnd, now) ||
    now - askedAt >= Math.min(waitMilliseconds, REPORT_WAIT_MILLISECONDS);

  const collectReports = (): readonly ServiceEventBody[] => {
    const due = renewals.filter(isDue);
    renewals = renewals.filter((renewal) => !due.includes(renewal));
    return due.map(({ workerId, acknowledgedEnd, askedAt }) => ({
      kind: 'worker-reported' as const,
      workerId,
      report: workers.report(workerId, acknowledgedEnd, now),
      askedAt,
    }));
  };

  const nextRecords = (): readonly StoredServiceRecord[] => {
    if (jobCount >= JOBS) return [];
    jobCount += 1;
    offset += 1;
    const request = jobOf(jobCount, timeOfDay);
    const accepted = passThroughCodec({ kind: 'job-accepted', request }, offset);
    const isCancelled = jobCount % CANCELLED_JOB_INTERVAL === 0;
    return isCancelled
      ? [...accepted, { offset, record: { kind: 'job-cancelled', jobId: request.jobId } }]
      : accepted;
  };

  const eventsOfRound = (round: number): readonly ServiceEventBody[] => {
    const isTick = round % ROUNDS_PER_TICK === 0;
    if (round % ROUNDS_PER_HOST_REPORT === 0) {
      selectServiceReport(state);
      selectQueueStatistics(state);
    }
    return [
      { kind: 'records-read', records: nextRecords(), askedAt: now },
      ...(isTick ? [{ kind: 'ticked' as const }] : []),
      ...collectReports(),
    ];
  };

  const dispatch = (body: ServiceEventBody): readonly ServiceEventBody[] => {
    events += 1;
    const result = runSteps(reduceService(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects.flatMap(answer);
  };

  pendingEvents = dispatch({ kind: 'workers-listed', workers: workers.listings });
  for (let round = 1; now < LONGEST_PLAY_MILLISECONDS; round += 1) {
    now += ROUND_MILLISECONDS;
    const due = [...pendingEvents, ...eventsOfRound(round)];
    pendingEvents = [];
    for (const body of due) {
      pendingEvents = [...pendingEvents, ...dispatch(body)];
      yield;
    }
    if (jobCount === JOBS && state.activeJobIds.isEmpty()) break;
  }
  const phases = [...state.jobs.values()].map(({ phase }) => phase);
  return {
    events,
    completedJobs: phases.filter((phase) => phase === 'completed').length,
    cancelledJobs: phases.filter((phase) => phase === 'cancelled').length,
  };
}
