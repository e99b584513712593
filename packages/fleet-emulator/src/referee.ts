/** Checks the rules after every event, by what callers, workers and hosts saw and by nothing else. */
import type { JobStatus } from '@baobabdeck/scheduling';
import { createCapacityRules } from './capacity-rules.js';
import { createHostRules, type HostRules } from './host-rules.js';
import type { JobPlans } from './job-plans.js';
import { createJobRules } from './job-rules.js';
import type { ModelHost } from './model-fleet.js';
import type { WorkerObserver } from './observer.js';
import { createRestRules } from './rest-rules.js';
import { createSightings, type Violation } from './sightings.js';
import { createTaskRules } from './task-rules.js';
import type { VirtualTime } from './virtual-time.js';

/** The referee. */
export interface Referee extends WorkerObserver, HostRules {
  readonly onSubmitAnswered: (jobId: string, answer: 'accepted' | 'refused' | 'unknown') => void;
  readonly onCancelSent: (jobId: string) => void;
  readonly onCancelAcknowledged: (jobId: string) => void;
  readonly onStatusShown: (jobId: string, status: JobStatus | null) => void;
  /** A caller received the number of pending jobs of a service, which it requested at `askedAt`. */
  readonly onPendingCounted: (service: string, count: number, askedAt: number) => void;
  /** Checks at the end of a calm stretch that nothing was left undone. */
  readonly checkRest: () => Promise<void>;
  /** Lets time pass without traffic, in which no job stands still for long beside free room. */
  readonly watchRest: (milliseconds: number) => Promise<void>;
  /** Jobs that were done within three times their objective, as a share of those that were handed in. */
  readonly servedShare: () => number;
  readonly checkServed: (floor: number) => void;
  readonly violations: readonly Violation[];
  readonly counts: () => PlayCounts;
}

/** What a play came to in numbers. */
export interface PlayCounts {
  readonly runs: number;
  readonly completed: number;
  readonly accepted: number;
  /** Jobs that were shown as failed. */
  readonly failed: number;
  /** Runs that ended with the life of their worker: by its crash, a move or maintenance. */
  readonly lostRuns: number;
  /** How often each task that has crashed a worker was started. */
  readonly startsOfCrashingTasks: readonly number[];
}

/** What the referee knows beforehand. */
export interface RefereeParts {
  readonly time: VirtualTime;
  readonly plans: JobPlans;
  readonly hosts: () => ReadonlyMap<string, ModelHost>;
  /** When a trouble last began or ended. */
  readonly lastTroubleAt: () => number;
}

/** Creates a referee that has seen nothing. */
export function createReferee(parts: RefereeParts): Referee {
  const { time, plans } = parts;
  const sightings = createSightings(time, plans);
  const { jobs, jobOf } = sightings;
  const taskRules = createTaskRules(parts, sightings);
  const capacityRules = createCapacityRules(parts, sightings);
  const hostRules = createHostRules(parts, sightings, taskRules.onStop);
  const jobRules = createJobRules(parts, sightings);
  const restRules = createRestRules(parts, sightings);
  return {
    ...restRules,
    ...taskRules,
    ...hostRules,
    onStart: (started) => {
      taskRules.onStart(started);
      capacityRules.onStart(started);
    },
    onCapacityChange: capacityRules.onCapacityChange,
    onStatusShown: jobRules.onStatusShown,
    onPendingCounted: jobRules.onPendingCounted,
    checkRest: jobRules.checkRest,
    onSubmitAnswered: (jobId, answer) => {
      const job = jobOf(jobId);
      if (answer === 'accepted') {
        job.isAccepted = true;
        job.acceptedAt = time.now();
      } else if (answer === 'refused') job.wasRefused = true;
      else job.hasUnknownAnswer = true;
    },
    onCancelSent: (jobId) => {
      jobOf(jobId).cancelSentAt ??= time.now();
    },
    onCancelAcknowledged: (jobId) => {
      jobOf(jobId).cancelledAt = time.now();
    },
    violations: sightings.violations,
    counts: () => ({
      runs: sightings.countRuns(),
      completed: jobRules.countCompleted(),
      accepted: [...jobs.values()].filter((job) => job.isAccepted).length,
      failed: [...jobs.values()].filter((job) => job.shown === 'failed').length,
      lostRuns: sightings.countLostRuns(),
      startsOfCrashingTasks: sightings.countStartsOfCrashingTasks(),
    }),
  };
}
