/** Whole scheduler processes in virtual time. */
export { playSchedule, SMALL_PLAY, UNEVEN_PLAY, type PlayOptions, type PlayResult } from './random-play.js';
export type { RuleName, Violation } from './sightings.js';
export { TROUBLE_KINDS, type TroubleKind } from './troubles.js';
