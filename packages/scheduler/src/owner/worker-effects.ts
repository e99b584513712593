/** Performs effects on workers and dispatches their outcomes to the scheduler. */
import type { ServiceEffect } from '@baobabdeck/scheduling';
import type { WorkerOrders } from '../ports/index.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { ServiceEventBody } from './service-event.js';

type EffectOf<K extends ServiceEffect['kind']> = Extract<ServiceEffect, { readonly kind: K }>;
type WorkerEffect = EffectOf<'renew-lease' | 'start-run' | 'stop-run' | 'pace-run'>;
type Dispatch = (event: ServiceEventBody) => void;

async function renewLease(
  effect: EffectOf<'renew-lease'>,
  workers: WorkerOrders,
  clock: SteadyClock,
  dispatch: Dispatch,
): Promise<void> {
  const { workerId } = effect;
  const askedAt = clock.steadyNow();
  const outcome = await workers.renewLease(effect);
  if (outcome.kind === 'reported') {
    dispatch({ kind: 'worker-reported', workerId, report: outcome.report, askedAt });
  } else if (outcome.kind === 'fenced') dispatch({ kind: 'worker-fenced', workerId });
  else dispatch({ kind: 'worker-silent', workerId, askedAt });
}

async function startRun(
  effect: EffectOf<'start-run'>,
  workers: WorkerOrders,
  dispatch: Dispatch,
): Promise<void> {
  const { address } = effect;
  const { outcome, clockMilliseconds } = await workers.startRun({
    ...effect,
    workerId: address.workerId,
    address: effect.workerAddress,
    task: address.task,
    run: address.run,
  });
  dispatch({ kind: 'start-settled', address, outcome, clockMilliseconds });
}

async function stopRun(
  effect: EffectOf<'stop-run'>,
  workers: WorkerOrders,
  dispatch: Dispatch,
): Promise<void> {
  const { address } = effect;
  const outcome = await workers.stopRun({
    workerId: address.workerId,
    address: effect.workerAddress,
    fencingEpoch: effect.fencingEpoch,
    task: address.task,
    run: address.run,
  });
  dispatch({ kind: 'stop-settled', address, outcome });
}

async function paceRun(
  effect: EffectOf<'pace-run'>,
  workers: WorkerOrders,
  dispatch: Dispatch,
): Promise<void> {
  const { address, percent } = effect;
  const outcome = await workers.paceRun({
    workerId: address.workerId,
    address: effect.workerAddress,
    fencingEpoch: effect.fencingEpoch,
    task: address.task,
    run: address.run,
    percent,
  });
  dispatch({ kind: 'pace-settled', address, percent, outcome });
}

/** Performs one effect on a worker after its delay, unless the owner is closed by then. */
export async function performWorkerEffect(
  effect: WorkerEffect,
  workers: WorkerOrders,
  clock: SteadyClock,
  dispatch: Dispatch,
  isOpen: () => boolean,
): Promise<void> {
  if (effect.delayMilliseconds > 0) await clock.sleep(effect.delayMilliseconds);
  if (!isOpen()) return;
  if (effect.kind === 'renew-lease') await renewLease(effect, workers, clock, dispatch);
  else if (effect.kind === 'start-run') await startRun(effect, workers, dispatch);
  else if (effect.kind === 'pace-run') await paceRun(effect, workers, dispatch);
  else await stopRun(effect, workers, dispatch);
}
