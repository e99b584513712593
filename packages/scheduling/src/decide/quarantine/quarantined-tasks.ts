/** Finds the quarantined tasks that run and those that wait for a worker of their own. */
import { taskIdOf, type StepRequest, type TaskKey } from '../../model/job.js';
import { stepRequestOf } from '../../model/step-needs.js';
import { isolationIdOf } from '../../state/quarantine-state.js';
import type { Instant } from '../../model/instant.js';
import type { JobState, Run, ServiceState, StepState, TaskState } from '../../state/service-state.js';
import { isTaskWaiting } from '../../state/tasks.js';

interface Member {
  readonly key: TaskKey;
  readonly task: TaskState;
}

/** Tasks that are isolated together: one quarantined task, or a gang of which at least one member is quarantined. */
export interface Suspect {
  readonly isolationId: string;
  readonly job: JobState;
  readonly request: StepRequest;
  readonly step: StepState;
  readonly members: readonly Member[];
  readonly runs: readonly Run[];
}

/** Tasks that wait for workers of their own. */
export interface WaitingSuspect extends Suspect {
  readonly waitingSince: Instant;
}

/** Returns whether a task is still to be isolated: until its last run is gone, even if its job has ended by then. */
function isSuspected({ phase }: JobState, { isQuarantined, isDone, runs }: TaskState): boolean {
  return isQuarantined && (runs.length > 0 || (phase === 'active' && !isDone));
}

function suspectOf(state: ServiceState, key: TaskKey): Suspect | null {
  const job = state.jobs.get(key.jobId);
  const step = job?.occurrences.get(key.occurrence)?.steps[key.step];
  const task = step?.tasks[key.index];
  if (job === undefined || step === undefined || task === undefined || !isSuspected(job, task)) return null;
  const request = stepRequestOf(job.request, key.step);
  const members = request.isGang
    ? step.tasks.map((member, index) => ({ key: { ...key, index }, task: member }))
    : [{ key, task }];
  return {
    isolationId: isolationIdOf(key, request.isGang),
    job,
    request,
    step,
    members,
    runs: members.flatMap((member) => member.task.runs),
  };
}

/** Returns the tasks that are still to be isolated, by isolation id. */
export function findSuspects(state: ServiceState): ReadonlyMap<string, Suspect> {
  const suspects = [...state.quarantine.tasks.values()].flatMap((key) => suspectOf(state, key) ?? []);
  return new Map(suspects.map((suspect) => [suspect.isolationId, suspect]));
}

function hasPendingVerdict({ quarantine }: ServiceState, { members }: Suspect): boolean {
  const memberIds = new Set(members.map(({ key }) => isolationIdOf(key, false)));
  return [...quarantine.verdicts.keys()].some((taskId) => memberIds.has(taskId));
}

/** Returns the suspects that may start once they have workers: lasting tasks first, then the longest waiting. */
export function orderWaitingSuspects(
  state: ServiceState,
  suspects: ReadonlyMap<string, Suspect>,
): readonly WaitingSuspect[] {
  const mayWait = (suspect: Suspect): boolean =>
    suspect.job.phase === 'active' &&
    suspect.step.readySince !== null &&
    suspect.members.every(({ task }) => isTaskWaiting(task)) &&
    !hasPendingVerdict(state, suspect);
  return [...suspects.values()]
    .filter(mayWait)
    .map((suspect) => ({
      ...suspect,
      waitingSince: Math.min(...suspect.members.map(({ task }) => task.waitingSince)),
    }))
    .sort(
      (left, right) =>
        Number(right.request.isLasting) - Number(left.request.isLasting) ||
        left.waitingSince - right.waitingSince,
    );
}

/** Number of suspects of one crash above which a quarter of the workers does not suffice to try them in time. */
const MAXIMUM_SUSPECTS_OF_A_CRASH = 16;

/** Yields the ids of the tasks that each known crash has made suspects. */
function* suspectsByCrash({ quarantine }: ServiceState): Generator<readonly string[], void, void> {
  for (const { counted } of quarantine.crashes.values()) {
    yield counted.filter(({ causedQuarantine }) => causedQuarantine).map(({ key }) => taskIdOf(key));
  }
}

/**
 * Returns the ids of the tasks that one crash has made suspects together with many others. It is weak evidence against each of
 * them. Suspects whose crashes are not known, since an earlier owner saw them, count as those of one crash.
 */
export function findMassSuspects(state: ServiceState): ReadonlySet<string> {
  if (state.quarantine.tasks.isEmpty()) return new Set();
  const groups = [...suspectsByCrash(state)];
  const known = new Set(groups.flat());
  const unknown = [...state.quarantine.tasks.keys()].filter((taskId) => !known.has(taskId));
  return new Set([...groups, unknown].filter(({ length }) => length > MAXIMUM_SUSPECTS_OF_A_CRASH).flat());
}

/** Returns the keys of the quarantined tasks that are still to be isolated, by task id. */
export function keepSuspectedTasks(state: ServiceState): ServiceState['quarantine']['tasks'] {
  return state.quarantine.tasks.filter((key) => suspectOf(state, key) !== null);
}
