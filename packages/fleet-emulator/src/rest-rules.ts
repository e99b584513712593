/** Rules on what becomes of the work that was handed in: none stands still beside free room, and enough is served. */
import { countFitting, subtractResources, type Resources, type TaskKey } from '@baobabdeck/scheduling';
import { stepOfTask, sumOfNeeds } from './job-plans.js';
import type { Referee, RefereeParts } from './referee-types.js';
import type { Sightings } from './sightings.js';
import type { WorkspaceRules } from './workspace-rules.js';

/** Time for which work may stand still beside free room. */
const STILL_MILLISECONDS = 3_000;

/** Time from the end of a lasting task's run until it is looked for again. */
const LASTING_MILLISECONDS = 6_000;

/** Time between two looks. */
const LOOK_MILLISECONDS = 500;

/** Tasks of a kind that must find room before the room counts as free. */
const ROOM_FOR_TASKS = 2;

/** Share of a service's cores above which it counts as busy. */
const BUSY_SHARE = 0.5;

/** A job is served if it is done within so many times its objective. */
const SERVED_WITHIN_OBJECTIVES = 3;

/** What the rules are asked. */
export type RestRules = Pick<Referee, 'watchRest' | 'servedShare' | 'checkServed'>;

/** Room on the workers of a service. */
interface Room {
  readonly isBusy: boolean;
  readonly free: readonly Resources[];
}

/** Creates the rules. */
export function createRestRules(
  { time, plans, hosts }: RefereeParts,
  sightings: Sightings,
  mayWait: WorkspaceRules['mayWait'],
): RestRules {
  const { report, jobs, runsOf, isOn, isStepDone, isTaskDone, allTasks } = sightings;
  const { hasFailedOften, mayBeGivenUp } = sightings;

  const roomOf = (service: string): Room => {
    let capacity = 0;
    let used = 0;
    const free: Resources[] = [];
    for (const { pool, worker } of hosts().values()) {
      if (pool === service && worker !== null && !worker.mood.isDraining) {
        const whole = worker.capacity();
        const taken = sumOfNeeds(
          plans,
          worker.runs().map((run) => run.task),
        );
        capacity += whole.milliCores;
        used += taken.milliCores;
        free.push(subtractResources(whole, taken));
      }
    }
    return { isBusy: used >= BUSY_SHARE * capacity, free };
  };

  /** Lasting tasks must run however full their service is, all others only while it is not busy. */
  const hasRoomFor = ({ isBusy, free }: Room, key: TaskKey): boolean => {
    const step = stepOfTask(plans, key);
    if (step === null || (isBusy && !step.isLasting)) return false;
    const { needs } = step;
    return free.reduce((sum, room) => sum + countFitting(needs, room), 0) >= ROOM_FOR_TASKS;
  };

  const isTurn = (key: TaskKey): boolean => {
    const after = stepOfTask(plans, key)?.after ?? [];
    return after.every((step) => isStepDone(key, step));
  };

  const isLasting = (key: TaskKey): boolean => stepOfTask(plans, key)?.isLasting === true;

  const wasJustOn = (key: TaskKey): boolean => {
    const endedAt = runsOf(key).at(-1)?.endedAt ?? null;
    return endedAt !== null && time.now() - endedAt < LASTING_MILLISECONDS;
  };

  /** Tasks that could run now and do not: of a job of which nothing runs, or lasting ones. */
  const stillTasks = (jobId: string): readonly TaskKey[] => {
    const tasks = allTasks(jobId).filter((key) => !isTaskDone(key));
    const isJobOn = tasks.some((key) => runsOf(key).some(isOn));
    return tasks.filter((key) => {
      if (runsOf(key).some(isOn) || !isTurn(key)) return false;
      return isLasting(key) ? !wasJustOn(key) : !isJobOn;
    });
  };

  /** Jobs that stand still beside free room. */
  const stillJobs = (): readonly string[] => {
    const rooms = new Map<string, Room>();
    const roomFor = (service: string): Room => {
      const room = rooms.get(service) ?? roomOf(service);
      rooms.set(service, room);
      return room;
    };
    return [...jobs].flatMap(([jobId, job]) => {
      const plan = plans.get(jobId);
      const isHopeless = hasFailedOften(jobId) || mayBeGivenUp(jobId);
      const isWanted = job.isAccepted && job.cancelSentAt === null && !isHopeless;
      if (plan === undefined || !isWanted) return [];
      const room = roomFor(plan.service);
      return stillTasks(jobId).some((key) => hasRoomFor(room, key) && !mayWait(key)) ? [jobId] : [];
    });
  };

  /** Looks once, and reports each job that has stood still for too long, once. */
  const noteStill = (stillSince: Map<string, number>, reported: Set<string>): void => {
    const still = new Set(stillJobs());
    [...stillSince.keys()].filter((jobId) => !still.has(jobId)).forEach((jobId) => stillSince.delete(jobId));
    still.forEach((jobId) => {
      const since = stillSince.get(jobId) ?? time.now();
      stillSince.set(jobId, since);
      if (time.now() - since < STILL_MILLISECONDS || reported.has(jobId)) return;
      reported.add(jobId);
      report('nothing-waits-beside-room', `${jobId} has stood still beside free room since ${since} ms`);
    });
  };

  const watchRest: RestRules['watchRest'] = async (milliseconds) => {
    const until = time.now() + milliseconds;
    const stillSince = new Map<string, number>();
    const reported = new Set<string>();
    while (time.now() < until) {
      noteStill(stillSince, reported);
      await time.runUntil(Math.min(until, time.now() + LOOK_MILLISECONDS));
    }
  };

  const doneAt = (jobId: string): number => {
    const tasks = allTasks(jobId);
    const ends = tasks.map((key) => runsOf(key).find((run) => run.end === 'done')?.endedAt ?? Infinity);
    return Math.max(...ends);
  };

  const servedShare: RestRules['servedShare'] = () => {
    const finite = [...plans].filter(
      ([jobId, { job }]) => !job.steps.some((step) => step.isLasting) && !mayBeGivenUp(jobId),
    );
    const served = finite.filter(
      ([jobId, { handedInAt, objectiveMilliseconds }]) =>
        doneAt(jobId) <= handedInAt + SERVED_WITHIN_OBJECTIVES * objectiveMilliseconds,
    );
    return finite.length === 0 ? 1 : served.length / finite.length;
  };

  return {
    watchRest,
    servedShare,
    checkServed: (floor) => {
      const share = servedShare();
      if (share < floor) report('enough-is-served', `${share.toFixed(3)} is served, below ${floor}`);
    },
  };
}
