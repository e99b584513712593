/** Authenticates calls by the configuration in force, and refuses them while it must be assumed to be outdated. */
import type { WriteEvent } from '@baobabdeck/observability';
import type { ConfigurationFollower } from '../node/configuration.js';
import type { RevocationSettings } from '../node/settings.js';
import type { SteadyClock } from '../node/steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';
import type { CallerService, Queue, QueueConfiguration } from '../ports/index.js';
import { authenticate, needsKey } from './authenticate.js';
import { recordUnauthenticatedCalls } from './unauthenticated-calls.js';

/** Dependencies of the authentication. */
export interface CallerAuthenticationParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly revocation: RevocationSettings;
  readonly configuration: Pick<ConfigurationFollower, 'current' | 'answeredSince' | 'refreshIfStale'>;
}

/** Returns the queue as the configuration describes it; the given one if it is not listed any more. */
function queueIn({ queues }: QueueConfiguration, queue: Queue): Queue {
  return queues.includes(queue) ? queue : (queues.find(({ name }) => name === queue.name) ?? queue);
}

/** Creates the authentication of calls. */
export function authenticateCallers({
  clock,
  background,
  writeEvent,
  revocation,
  configuration: follower,
}: CallerAuthenticationParts): CallerService['authenticate'] {
  const recordUnauthenticated = recordUnauthenticatedCalls(clock, writeEvent, background);

  const isOutdated = (): boolean =>
    revocation.isStrict && clock.steadyNow() - follower.answeredSince() > revocation.maximumAgeMilliseconds;

  return async (queue, authorizations) => {
    const known = follower.current();
    if (known !== null && needsKey(known, queue)) await follower.refreshIfStale();
    const configuration = follower.current();
    if (configuration === null) return { kind: 'unverifiable' };
    const currentQueue = queueIn(configuration, queue);
    if (needsKey(configuration, currentQueue) && isOutdated()) return { kind: 'unverifiable' };
    const authentication = authenticate(configuration, currentQueue, authorizations);
    if (authentication.kind === 'unauthenticated') recordUnauthenticated(queue.name, authentication.reason);
    return authentication;
  };
}
