import { describe } from '@baobabdeck/test-tools';
import type { ExecutionContext } from 'ava';
import { createCrowdedService, CROWDED_EVENTS, type CrowdedEvent } from './crowded-service.js';
import { startBlockCounter } from './block-counter.js';

const FEW_TASKS = 10;
const WAITING_TASKS = [FEW_TASKS, 100, 1_000, 10_000];
const EVENTS_PER_KIND = 5;
const LARGEST_RATIO = 1.2;

const counter = startBlockCounter();

/** Executed blocks by kind of event and number of waiting tasks. */
const blocksByEvent = new Map<CrowdedEvent, Map<number, number>>(
  CROWDED_EVENTS.map((event) => [event, new Map()]),
);
WAITING_TASKS.forEach((waitingTasks) => {
  const service = createCrowdedService(waitingTasks);
  CROWDED_EVENTS.forEach((event) => {
    const counts = Array.from({ length: EVENTS_PER_KIND }, () => counter.measure(service.prepare(event)));
    blocksByEvent.get(event)?.set(
      waitingTasks,
      counts.reduce((sum, count) => sum + count, 0),
    );
  });
});

function checkConstantCost(event: CrowdedEvent) {
  return (t: ExecutionContext): void => {
    const blocksByTasks = blocksByEvent.get(event) ?? new Map<number, number>();
    t.log([...blocksByTasks].map(([tasks, blocks]) => `${tasks} tasks: ${blocks} blocks`).join(', '));
    const few = blocksByTasks.get(FEW_TASKS) ?? 0;
    t.true(few > 0);
    WAITING_TASKS.forEach((tasks) => t.true((blocksByTasks.get(tasks) ?? Infinity) <= LARGEST_RATIO * few));
  };
}

describe('event cost with 10 to 10,000 waiting tasks', ({ it }) => {
  it('grows by at most 20 % for a report with one end', checkConstantCost('a report with one end'));
  it('grows by at most 20 % for a tick with an empty read', checkConstantCost('a tick with an empty read'));
  it('grows by at most 20 % for the settlement of a start', checkConstantCost('a start settled'));
  it('grows by at most 20 % for the acceptance of a job', checkConstantCost('a job accepted'));
});
