/** One life of a worker as a model: leases on its own clock, fencing, runs, and lists of ends. */
import {
  fits,
  taskIdOf,
  type EndedReport,
  type PaceOutcome,
  type RunEnd,
  type StartOutcome,
  type StopOutcome,
  type TaskKey,
  type WorkerListing,
} from '@baobabdeck/scheduling';
import type {
  PaceRunOrder,
  RenewLeaseOrder,
  RenewLeaseOutcome,
  StartRunOrder,
  StopRunOrder,
} from '@baobabdeck/scheduler';
import type { GangHall, GangMember } from './gang-hall.js';
import type { ModelRun, ModelWorker, WorkerMood } from './model-worker-types.js';
import { stepOfTask, sumOfNeeds, type JobPlans } from './job-plans.js';
import type { WorkerObserver } from './observer.js';
import { createTailMeter, type Disturbance, type TailMeter } from './tail-meter.js';
import type { VirtualTime } from './virtual-time.js';

const MAXIMUM_LEASE_MILLISECONDS = 10_000;
const STOP_MILLISECONDS = 200;
/** Time until a pace is effective. */
const PACE_MILLISECONDS = 100;

const GANG_TIMEOUT_MILLISECONDS = 3_000;
const CHECKPOINT_MILLISECONDS = 500;

/** Time from the start of a lasting task until it is at work. */
const STARTUP_MILLISECONDS = 400;

/** Time after which a lasting task fails by itself. */
const LASTING_MILLISECONDS = 25_000;

/** What a worker is made of. */
export interface ModelWorkerParts {
  readonly time: VirtualTime;
  readonly listing: Omit<WorkerListing, 'isDraining' | 'clockMilliseconds'>;
  /** How fast its clock runs: down to 0.98. */
  readonly clockRate: number;
  readonly plans: JobPlans;
  readonly gangs: GangHall;
  readonly observer: WorkerObserver;
  readonly chance: (probability: number) => boolean;
  /** Crashes the host of the worker, which ends this life. */
  readonly crashHost: () => void;
  /** It refuses starts that do not fit into its capacity. */
  readonly guardsCapacity: boolean;
  /** How filling tasks disturb serving tasks; null for a worker that reports no tails. */
  readonly disturbance: Disturbance | null;
  /** It acknowledges pace orders and carries none out. */
  readonly ignoresPaces: boolean;
  /** The most ends that it lists at once; the others follow once those are acknowledged. */
  readonly endsPerList: number;
}

type StartAnswer = ReturnType<ModelWorker['start']>;

const FULL_PERCENT = 100;

function checkpointText(milliseconds: number): string {
  return `at-${Math.floor(milliseconds / CHECKPOINT_MILLISECONDS) * CHECKPOINT_MILLISECONDS}`;
}

function checkpointMilliseconds(text: string): number {
  return text === '' ? 0 : Number(text.slice('at-'.length));
}

/** Creates a worker that runs nothing. */
export function createModelWorker(parts: ModelWorkerParts): ModelWorker {
  const { time, plans, gangs, observer } = parts;
  const bornAt = time.now();
  const mood: WorkerMood = { failing: 0, isHanging: false, isDraining: false };
  const running = new Map<string, { readonly run: ModelRun; readonly member: GangMember | null }>();
  const highestOver = new Map<string, number>();
  const lapsedSince = new Map<number, boolean>();
  const waiting = new Set<() => void>();
  let ended: EndedReport[] = [];
  let endNumber = 0;
  let fence = 0;
  let leaseUntil = 0;
  let { capacity } = parts.listing;
  let isUp = true;
  let tailMeter: TailMeter | null = null;

  const clock = (): number => Math.round((time.now() - bornAt) * parts.clockRate);
  const workedOf = (run: ModelRun): number =>
    run.workingSince === null
      ? run.workedMilliseconds
      : run.workedMilliseconds + (time.now() - run.workingSince) * run.share;

  const checkpointOf = (run: ModelRun): string =>
    stepOfTask(plans, run.task)?.savesCheckpoints === true && workedOf(run) >= CHECKPOINT_MILLISECONDS
      ? checkpointText(workedOf(run))
      : '';

  const endRun = (run: ModelRun, end: RunEnd): void => {
    const id = taskIdOf(run.task);
    const entry = running.get(id);
    if (entry?.run !== run) return;
    const checkpoint = checkpointOf(run);
    running.delete(id);
    highestOver.set(id, Math.max(highestOver.get(id) ?? 0, run.run));
    endNumber += 1;
    ended.push({ number: endNumber, task: run.task, run: run.run, end, checkpoint });
    lapsedSince.set(endNumber, false);
    observer.onEnd({ worker, task: run.task, run: run.run, end, checkpoint, isSilent: false });
    if (entry.member !== null) gangs.leave(run.task, run.run, entry.member, end === 'done');
    [...waiting].forEach((wake) => wake());
  };

  /** Ends everything whose lease is over. */
  const checkLease = (): void => {
    if (!isUp || clock() <= leaseUntil) return;
    [...lapsedSince.keys()].forEach((number) => lapsedSince.set(number, true));
    [...running.values()].forEach(({ run }) => endRun(run, 'lapsed'));
  };

  const extendLease = (until: number): void => {
    const capped = Math.min(until, clock() + MAXIMUM_LEASE_MILLISECONDS);
    if (capped <= leaseUntil) return;
    leaseUntil = capped;
    time.after((leaseUntil - clock()) / parts.clockRate + 1, checkLease);
  };

  const finish = (run: ModelRun): void => {
    if (!isUp || running.get(taskIdOf(run.task))?.run !== run || run.isStopping) return;
    const plan = plans.get(run.task.jobId)?.taskPlan(run.task);
    const step = stepOfTask(plans, run.task);
    if (plan === undefined || step === null) return;
    const fails = parts.chance(mood.failing) || run.run <= plan.failingRuns || step.isLasting;
    endRun(run, fails ? 'failed' : 'done');
  };

  const crashDelayOf = ({ task }: ModelRun): number | null =>
    plans.get(task.jobId)?.crashDelayMilliseconds(task) ?? null;

  const work = (run: ModelRun): void => {
    run.workingSince = time.now();
    run.firstWorkedAt ??= time.now();
    if (mood.isHanging || crashDelayOf(run) !== null) return;
    const step = stepOfTask(plans, run.task);
    const plan = plans.get(run.task.jobId)?.taskPlan(run.task);
    if (step === null || plan === undefined) return;
    const needed = step.isLasting ? LASTING_MILLISECONDS : plan.runMilliseconds;
    if (run.share === 0) return;
    const { share, workingSince } = run;
    time.after(Math.max(1, (needed - run.workedMilliseconds) / share), () => {
      // A change of its pace since then has scheduled its end anew.
      if (run.share === share && run.workingSince === workingSince) finish(run);
    });
  };

  const changePace = (run: ModelRun, percent: number): void => {
    if (run.workingSince === null) {
      run.share = percent / FULL_PERCENT;
      return;
    }
    run.workedMilliseconds = workedOf(run);
    run.share = percent / FULL_PERCENT;
    work(run);
  };

  /** Crashes the worker after the run's delay, if its task does so and the run has not ended by then. */
  const scheduleCrash = (run: ModelRun): void => {
    const delay = crashDelayOf(run);
    if (delay === null) return;
    time.after(delay, () => {
      if (!isUp || running.get(taskIdOf(run.task))?.run !== run) return;
      observer.onCrash(worker, run.task, run.run);
      parts.crashHost();
    });
  };

  const enterGang = (run: ModelRun, size: number): GangMember => {
    const member: GangMember = { begin: () => work(run), breakOff: () => endRun(run, 'broken') };
    time.after(GANG_TIMEOUT_MILLISECONDS, () => {
      if (run.workingSince === null && !run.isStopping) endRun(run, 'alone');
    });
    // The hall may begin at once, so the run must be listed by then.
    queueMicrotask(() => gangs.enter(run.task, run.run, size, member));
    return member;
  };

  const answer = (outcome: StartOutcome): StartAnswer => ({ outcome, clockMilliseconds: clock() });

  const begin = (order: StartRunOrder, isLate: boolean): void => {
    const run: ModelRun = {
      task: order.task,
      run: order.run,
      startedAt: time.now(),
      workingSince: null,
      firstWorkedAt: null,
      workedMilliseconds: checkpointMilliseconds(order.checkpoint),
      share: 1,
      isStopping: false,
    };
    const step = stepOfTask(plans, order.task);
    const member = step?.isGang === true ? enterGang(run, step.taskCount) : null;
    running.set(taskIdOf(order.task), { run, member });
    observer.onStart({ worker, ...order, isLate });
    scheduleCrash(run);
    if (member === null) work(run);
  };

  const hasRoom = (task: TaskKey): boolean => {
    const tasks = [...running.values()].map(({ run }) => run.task);
    return fits(sumOfNeeds(plans, [...tasks, task]), capacity);
  };

  const start = (order: StartRunOrder, isLate: boolean): StartAnswer => {
    checkLease();
    if (order.workerId !== parts.listing.workerId) {
      return { outcome: 'other-incarnation', clockMilliseconds: null };
    }
    if (order.fencingEpoch < fence) return answer('fenced');
    fence = order.fencingEpoch;
    if (order.leaseUntil < clock()) return answer('late');
    extendLease(order.leaseUntil);
    const id = taskIdOf(order.task);
    if (running.get(id)?.run.run === order.run) return answer('started');
    if (running.has(id) || order.run <= (highestOver.get(id) ?? 0)) return answer('superseded');
    if (parts.guardsCapacity && !hasRoom(order.task)) return answer('no-room');
    begin(order, isLate);
    return answer('started');
  };

  const stop = (order: StopRunOrder): StopOutcome => {
    checkLease();
    if (order.workerId !== parts.listing.workerId) return 'other-incarnation';
    if (order.fencingEpoch < fence) return 'fenced';
    fence = order.fencingEpoch;
    const id = taskIdOf(order.task);
    highestOver.set(id, Math.max(highestOver.get(id) ?? 0, order.run));
    const run = running.get(id)?.run;
    if (run === undefined || run.run > order.run || run.isStopping) return 'accepted';
    observer.onStop(worker, order.task, run.run);
    run.isStopping = true;
    time.after(STOP_MILLISECONDS / 2, () => endRun(run, 'stopped'));
    return 'accepted';
  };

  const pace = (order: PaceRunOrder): PaceOutcome => {
    checkLease();
    if (order.workerId !== parts.listing.workerId) return 'other-incarnation';
    if (order.fencingEpoch < fence) return 'fenced';
    fence = order.fencingEpoch;
    const run = running.get(taskIdOf(order.task))?.run;
    if (run?.run !== order.run) return 'gone';
    if (parts.ignoresPaces) return 'accepted';
    time.after(PACE_MILLISECONDS, () => {
      if (isUp && running.get(taskIdOf(order.task))?.run === run) changePace(run, order.percent);
    });
    return 'accepted';
  };

  const forget = (through: number): void => {
    const over = ended.filter((one) => one.number <= through);
    over.forEach(({ number, task, run }) => {
      observer.onForgotten(worker, task, run, lapsedSince.get(number) ?? false);
      lapsedSince.delete(number);
    });
    ended = ended.filter((one) => one.number > through);
  };

  const percentOf = (run: ModelRun): number => {
    if (run.workingSince === null) return 0;
    const share = Math.min(
      run.share,
      (time.now() - (run.firstWorkedAt ?? time.now())) / STARTUP_MILLISECONDS,
    );
    return Math.min(FULL_PERCENT, Math.floor(share * FULL_PERCENT));
  };

  const report = (): RenewLeaseOutcome => ({
    kind: 'reported',
    report: {
      incarnation: parts.listing.incarnation,
      clockMilliseconds: clock(),
      running: [...running.values()].map(({ run }) => ({
        task: run.task,
        run: run.run,
        checkpoint: checkpointOf(run),
        percent: percentOf(run),
        load: tailMeter?.tailOf(run) ?? null,
      })),
      ended: ended.slice(0, parts.endsPerList),
      isComplete: ended.length < parts.endsPerList,
    },
  });

  const renew = (order: RenewLeaseOrder): Promise<RenewLeaseOutcome> => {
    checkLease();
    if (order.workerId !== parts.listing.workerId) return Promise.resolve({ kind: 'other-incarnation' });
    if (order.fencingEpoch < fence) return Promise.resolve({ kind: 'fenced' });
    fence = order.fencingEpoch;
    if (order.leaseUntil !== null) extendLease(order.leaseUntil);
    forget(order.acknowledgedEnd);
    if (ended.length > 0 || order.waitMilliseconds === 0) return Promise.resolve(report());
    return new Promise((resolve) => {
      const wake = (): void => {
        if (!waiting.delete(wake) || !isUp) return;
        resolve(order.fencingEpoch < fence ? { kind: 'fenced' } : report());
      };
      waiting.add(wake);
      time.after(order.waitMilliseconds, wake);
    });
  };

  const worker: ModelWorker = {
    listing: () => ({
      ...parts.listing,
      capacity,
      isDraining: mood.isDraining,
      clockMilliseconds: clock(),
    }),
    guardsCapacity: parts.guardsCapacity,
    capacity: () => capacity,
    setCapacity: (changed) => {
      observer.onCapacityChange(worker);
      capacity = changed;
    },
    mood,
    isUp: () => isUp,
    runs: () => [...running.values()].map(({ run }) => run),
    percentOf,
    renew,
    start,
    stop,
    pace,
    end: () => {
      isUp = false;
      [...running.values()].forEach(({ run, member }) => {
        observer.onEnd({
          worker,
          task: run.task,
          run: run.run,
          end: 'lapsed',
          checkpoint: checkpointOf(run),
          isSilent: true,
        });
        if (member !== null) gangs.leave(run.task, run.run, member, false);
      });
      running.clear();
    },
  };
  if (parts.disturbance !== null) {
    tailMeter = createTailMeter({ time, plans, disturbance: parts.disturbance, observer, worker });
  }
  return worker;
}
