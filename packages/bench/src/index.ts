/** Experiments on seeded traces and measured slopes. */
import type { Experiment } from './experiment.js';
import { atMostOnce } from './experiments/at-most-once.js';
import { bursts } from './experiments/bursts.js';
import { eventCost } from './experiments/event-cost.js';
import { gateway } from './experiments/gateway.js';
import { overload } from './experiments/overload.js';
import { ownerBurst } from './experiments/owner-burst.js';
import { recovery } from './experiments/recovery.js';
import { rollout } from './experiments/rollout.js';
import { shortWork } from './experiments/short-work.js';
import { slopes } from './experiments/slopes.js';
import { urgent } from './experiments/urgent.js';
import { weight } from './experiments/weight.js';

/** Every experiment. */
export const EXPERIMENTS: readonly Experiment[] = [
  shortWork,
  atMostOnce,
  overload,
  rollout,
  bursts,
  recovery,
  slopes,
  gateway,
  urgent,
  eventCost,
  ownerBurst,
  weight,
];
