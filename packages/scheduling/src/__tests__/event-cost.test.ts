import { describe } from '@baobabdeck/test-tools';
import type { ExecutionContext } from 'ava';
import { createCrowdedService, CROWDED_EVENTS, type CrowdedEvent } from './crowded-service.js';
import { startWorkMeter } from './work-meter.js';

const FEW_TASKS = 10;
const WAITING_TASKS = [FEW_TASKS, 100, 1_000, 10_000];
const EVENTS_PER_KIND = 5;
const LARGEST_RATIO = 1.2;

const meter = startWorkMeter();

/** Blocks of code that events of one kind pass through, by how many tasks wait. */
const works = new Map<CrowdedEvent, Map<number, number>>(CROWDED_EVENTS.map((event) => [event, new Map()]));
WAITING_TASKS.forEach((waitingTasks) => {
  const service = createCrowdedService(waitingTasks);
  CROWDED_EVENTS.forEach((event) => {
    const prepared = Array.from({ length: EVENTS_PER_KIND }, () => meter.measure(service.prepare(event)));
    works.get(event)?.set(
      waitingTasks,
      prepared.reduce((sum, work) => sum + work, 0),
    );
  });
});

function checkFlat(event: CrowdedEvent) {
  return (t: ExecutionContext): void => {
    const work = works.get(event) ?? new Map<number, number>();
    t.log([...work].map(([tasks, blocks]) => `${tasks} tasks: ${blocks} blocks`).join(', '));
    const few = work.get(FEW_TASKS) ?? 0;
    t.true(few > 0);
    WAITING_TASKS.forEach((tasks) => t.true((work.get(tasks) ?? Infinity) <= LARGEST_RATIO * few));
  };
}

describe('the cost of an event does not grow with the tasks that wait:', ({ it }) => {
  it('a report with one end', checkFlat('a report with one end'));
  it('a tick with an empty read', checkFlat('a tick with an empty read'));
  it('a start settled', checkFlat('a start settled'));
  it('a job accepted', checkFlat('a job accepted'));
});
