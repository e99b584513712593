/** The time that one event of a service's scheduler takes, by how many tasks wait. */
import {
  createCrowdedService,
  CROWDED_EVENTS,
  type CrowdedEvent,
  type CrowdedService,
} from '@baobabdeck/scheduling/crowded-service';
import { figure, selectPolicies, type Experiment, type PolicyResult } from '../experiment.js';
import { quantilesOf } from '../quantiles.js';

const FEW_TASKS = 10;
const WAITING_TASKS = [FEW_TASKS, 100, 1_000, 10_000];
const WARM_UP_EVENTS = 100;
const EVENTS = 200;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** The cost with many waiting tasks beside that with few. */
const LARGEST_RATIO = 1.2;

/** Returns the median time of one kind of event on a crowded service. */
export function measureEventMicroseconds(service: CrowdedService, event: CrowdedEvent): number {
  const times: number[] = [];
  for (let number = 0; number < WARM_UP_EVENTS + EVENTS; number += 1) {
    const happen = service.prepare(event);
    const startedAt = performance.now();
    happen();
    const milliseconds = performance.now() - startedAt;
    if (number >= WARM_UP_EVENTS) times.push(milliseconds * MICROSECONDS_PER_MILLISECOND);
  }
  return quantilesOf(times).p50;
}

/** Measures one kind of event; its row is compared with the bound on the ratio. */
function measureEvent(event: CrowdedEvent): PolicyResult {
  const medians = WAITING_TASKS.map((tasks) => measureEventMicroseconds(createCrowdedService(tasks), event));
  const [few = 0] = medians;
  return {
    user: '50 workers of 16 cores, all full',
    policy: event,
    figures: [
      ...WAITING_TASKS.map((tasks, index) => figure(`${tasks} wait`, medians[index] ?? 0, 'us')),
      figure('ratio', (medians.at(-1) ?? 0) / few, '', LARGEST_RATIO),
    ],
  };
}

/** The experiment. */
export const eventCost: Experiment = {
  name: 'event-cost',
  description: 'median microseconds for one event of a scheduler while tasks wait on full workers',
  policies: CROWDED_EVENTS,
  run: (options) => {
    const events = selectPolicies(options, CROWDED_EVENTS);
    return Promise.resolve(CROWDED_EVENTS.filter((event) => events.includes(event)).map(measureEvent));
  },
};
