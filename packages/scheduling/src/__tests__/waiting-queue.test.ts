import { describe } from '@baobabdeck/test-tools';
import {
  EMPTY_WAITING_QUEUE,
  setWaitingStep,
  waitingInOrder,
  type WaitingKey,
} from '../state/waiting-queue.js';

const NEEDS = { milliCores: 500, memoryMegabytes: 64, accelerators: 0 };
const LOAD = { tasks: 1, workspace: null, taskNeeds: NEEDS, startNeeds: NEEDS, needs: NEEDS };

const NOW = 1_000;

function keyOf(jobId: string, fields: Partial<WaitingKey> = {}): WaitingKey {
  return { isLasting: false, priority: 0, startBy: NOW, jobId, occurrence: 0, step: 0, ...fields };
}

describe('the queue of waiting steps', ({ it }) => {
  it('sums up the waiting tasks, also after a step has changed', (t) => {
    const six = setWaitingStep(EMPTY_WAITING_QUEUE, keyOf('a'), { ...LOAD, tasks: 6 });
    const two = setWaitingStep(six, keyOf('a'), { ...LOAD, tasks: 2 });
    const one = setWaitingStep(two, keyOf('a'), { ...LOAD, tasks: 1 });
    t.deepEqual(six.total, { tasks: 6, milliCores: 3_000 });
    t.deepEqual(two.total, { tasks: 2, milliCores: 1_000 });
    t.deepEqual(one.total, { tasks: 1, milliCores: 500 });
    t.deepEqual(setWaitingStep(one, keyOf('a'), null), EMPTY_WAITING_QUEUE);
  });

  it('yields lasting steps first, then by priority and least slack, late steps last', (t) => {
    const keys = [
      keyOf('late', { startBy: NOW - 1 }),
      keyOf('urgent', { startBy: NOW + 1 }),
      keyOf('less-important', { priority: 1, startBy: NOW }),
      keyOf('later', { startBy: NOW + 500 }),
      keyOf('lasting', { isLasting: true, startBy: NOW + 900 }),
    ];
    const queue = keys.reduce(
      (filled, key) => setWaitingStep(filled, key, { ...LOAD, tasks: 1 }),
      EMPTY_WAITING_QUEUE,
    );
    const order = [...waitingInOrder(queue, NOW)].map(([{ jobId }]) => jobId);
    t.deepEqual(order, ['lasting', 'urgent', 'later', 'less-important', 'late']);
  });
});
