/** Whole scheduler processes in virtual time. */
export { GROWN_SIZE, playTurns, USUAL_COSTS, type GrownPlayOptions } from './grown-play.js';
export type { PlayResult } from './play-result.js';
export {
  CALM_CRASHING_PLAY,
  COUNTING_PLAY,
  CRASHING_HOSTS_PLAY,
  CRASHING_PLAY,
  MOVED_QUEUES_PLAY,
  playSchedule,
  RELAYED_PLAY,
  SHRINKING_PLAY,
  SMALL_PLAY,
  TIGHT_LIMITS_PLAY,
  TROUBLED_RELAYED_PLAY,
  TROUBLED_SHRINKING_PLAY,
  UNEVEN_PLAY,
  WHOLE_CAPS_PLAY,
  WORKSPACE_PLAY,
  type PlayOptions,
} from './random-play.js';
export type { RuleName, Violation } from './sightings.js';
export { CAPACITY_TROUBLE_KINDS, TROUBLE_KINDS, type TroubleKind } from './troubles.js';
