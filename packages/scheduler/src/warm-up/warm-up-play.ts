/**
 * Plays a synthetic burst through the scheduler of a fictitious service, in virtual time and without any I/O. The
 * engine compiles code only once it has run often; without this play a new owner meets its first burst with code that
 * takes several times as long.
 */
import {
  reduceService,
  restoreService,
  selectQueueStatistics,
  selectServiceReport,
  type SchedulingParameters,
  type ServiceEffect,
  type ServiceState,
} from '@baobabdeck/scheduling';
import { runSteps } from '@baobabdeck/types';
import type { ServiceEventBody } from '../owner/service-event.js';
import { passThroughCodec, inboxReads, WARM_UP_SERVICE } from './model-jobs.js';
import { createModelWorkers, type ModelWorkers } from './model-workers.js';

const WORKERS = 12;

const ROUND_MILLISECONDS = 10;
const ROUNDS_PER_TICK = 10;
const ROUNDS_PER_HOST_REPORT = 12;

/** Virtual time after which the play ends even if jobs are left. */
const LONGEST_PLAY_MILLISECONDS = 20_000;

/** Longest wait of a worker for a run end before it answers a renewal. */
const REPORT_WAIT_MILLISECONDS = 500;

type Events = readonly ServiceEventBody[];

/** A renewal of a lease that its worker has not answered yet. */
type PendingRenewal = Extract<ServiceEffect, { readonly kind: 'renew-lease' }> & { readonly askedAt: number };

/** What a play has done. */
export interface WarmUpResult {
  readonly events: number;
  readonly completedJobs: number;
  readonly cancelledJobs: number;
}

/** The store and the workers, which answer the scheduler's effects. Times are virtual. */
interface Environment {
  /** Carries an effect out and returns the events that answer it in the next round. */
  readonly perform: (effect: ServiceEffect, now: number) => Events;
  /** Returns the reports of the workers whose renewal is due to be answered. */
  readonly collectReports: (now: number) => Events;
}

function isAnswerDue(workers: ModelWorkers, renewal: PendingRenewal, now: number): boolean {
  const { workerId, acknowledgedEnd, waitMilliseconds, askedAt } = renewal;
  const longestWait = Math.min(waitMilliseconds, REPORT_WAIT_MILLISECONDS);
  return workers.hasEnds(workerId, acknowledgedEnd, now) || now - askedAt >= longestWait;
}

function createEnvironment(workers: ModelWorkers): Environment {
  let renewals: readonly PendingRenewal[] = [];
  return {
    perform: (effect, now) => {
      switch (effect.kind) {
        case 'store-records':
          effect.records.forEach((record) => passThroughCodec(record, 0));
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
    },
    collectReports: (now) => {
      const due = renewals.filter((renewal) => isAnswerDue(workers, renewal, now));
      renewals = renewals.filter((renewal) => !due.includes(renewal));
      return due.map(({ workerId, acknowledgedEnd, askedAt }) => ({
        kind: 'worker-reported' as const,
        workerId,
        report: workers.report(workerId, acknowledgedEnd, now),
        askedAt,
      }));
    },
  };
}

function resultOf({ jobs }: ServiceState, events: number): WarmUpResult {
  return {
    events,
    completedJobs: jobs.count(({ phase }) => phase === 'completed'),
    cancelledJobs: jobs.count(({ phase }) => phase === 'cancelled'),
  };
}

/** Plays the load; yields after each event. The play has no effect outside itself. */
export function* playWarmUp(
  parameters: SchedulingParameters,
  timeOfDay: Date,
): Generator<void, WarmUpResult, void> {
  const workers = createModelWorkers(WORKERS);
  const { perform, collectReports } = createEnvironment(workers);
  const inbox = inboxReads(timeOfDay);
  let now = 0;
  let events = 0;
  let { state } = restoreService({
    service: WARM_UP_SERVICE,
    parameters,
    fencingEpoch: 1,
    now,
    timeOfDay,
    claimedAt: now,
    provenAt: now,
    records: [],
  });

  const dispatch = (body: ServiceEventBody): Events => {
    events += 1;
    const result = runSteps(reduceService(state, { ...body, at: now, timeOfDay }));
    ({ state } = result);
    return result.effects.flatMap((effect) => perform(effect, now));
  };

  let answers = dispatch({ kind: 'workers-listed', workers: workers.listings });
  for (let round = 1; now < LONGEST_PLAY_MILLISECONDS; round += 1) {
    now += ROUND_MILLISECONDS;
    const read = inbox.next();
    const ticks: Events = round % ROUNDS_PER_TICK === 0 ? [{ kind: 'ticked' }] : [];
    const due: Events = [
      ...answers,
      { kind: 'records-read', records: read.value ?? [], askedAt: now },
      ...ticks,
      ...collectReports(now),
    ];
    answers = [];
    for (const body of due) {
      answers = [...answers, ...dispatch(body)];
      yield;
    }
    if (round % ROUNDS_PER_HOST_REPORT === 0) {
      selectServiceReport(state);
      selectQueueStatistics(state);
    }
    if (read.done === true && state.activeJobIds.isEmpty()) break;
  }
  return resultOf(state, events);
}
