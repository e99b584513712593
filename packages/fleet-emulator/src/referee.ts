/** Checks the rules after every event, by what callers, workers and hosts saw and by nothing else. */
import { createCapacityRules } from './capacity-rules.js';
import { createHarmRules } from './harm-rules.js';
import { createHostRules } from './host-rules.js';
import { createJobRules } from './job-rules.js';
import type { Referee, RefereeParts } from './referee-types.js';
import { createRestRules } from './rest-rules.js';
import { createSightings } from './sightings.js';
import { createWorkspaceRules } from './workspace-rules.js';
import { createTaskRules } from './task-rules.js';

/** Creates a referee that has seen nothing. */
export function createReferee(parts: RefereeParts): Referee {
  const { time, plans } = parts;
  const sightings = createSightings(time, plans);
  const { jobs, jobOf } = sightings;
  const taskRules = createTaskRules(parts, sightings);
  const capacityRules = createCapacityRules(parts, sightings);
  const workspaceRules = createWorkspaceRules(parts, sightings, parts.workspaces);
  const hostRules = createHostRules(parts, sightings, taskRules.onStop);
  const jobRules = createJobRules(parts, sightings, workspaceRules.mayWait);
  const restRules = createRestRules(parts, sightings, workspaceRules.mayWait);
  return {
    ...restRules,
    ...taskRules,
    ...hostRules,
    onStart: (started) => {
      taskRules.onStart(started);
      capacityRules.onStart(started);
      workspaceRules.onStart(started);
    },
    onCapsChanged: workspaceRules.onCapsChanged,
    ...createHarmRules(parts, sightings),
    onCapacityChange: capacityRules.onCapacityChange,
    onStatusShown: jobRules.onStatusShown,
    onPendingCounted: jobRules.onPendingCounted,
    checkRest: jobRules.checkRest,
    onSubmitAnswered: (jobId, answer) => {
      const job = jobOf(jobId);
      if (answer === 'accepted') {
        job.isAccepted = true;
        job.acceptedAt = time.now();
      } else if (answer === 'refused' || answer === 'too-large') job.wasRefused = true;
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
