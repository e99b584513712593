/** The rule that filling tasks that work on must not keep a serving task over its target for long. */
import { taskIdOf } from '@baobabdeck/scheduling';
import type { ObservedTail, WorkerObserver } from './observer.js';
import type { Sightings } from './sightings.js';
import type { RefereeParts } from './referee-types.js';

/** Longest time for which a serving task may be over its target without a break because of filling tasks. */
const HARM_MILLISECONDS = 4_500;

/** Time after a trouble within which an owner of the service receives the reports of its workers again. */
const TAKEOVER_MILLISECONDS = 8_000;

/** Creates the rule. */
export function createHarmRules(
  { time, lastTroubleAt }: RefereeParts,
  { report }: Sightings,
): Pick<WorkerObserver, 'onTail'> {
  const harmedSince = new Map<string, number>();
  const isHarmed = ({ tail, quietTail, target, hasWorkingFillers }: ObservedTail): boolean =>
    tail > target && quietTail <= target && hasWorkingFillers;
  return {
    onTail: (seen) => {
      const id = `${taskIdOf(seen.task)} in run ${seen.run}`;
      if (!isHarmed(seen)) {
        harmedSince.delete(id);
        return;
      }
      const since = harmedSince.get(id) ?? time.now();
      harmedSince.set(id, since);
      const countedSince = Math.max(since, lastTroubleAt() + TAKEOVER_MILLISECONDS);
      if (time.now() - countedSince < HARM_MILLISECONDS) return;
      report('harm-within-limit', `${id} has been over its target beside filling tasks since ${since} ms`);
      harmedSince.delete(id);
    },
  };
}
