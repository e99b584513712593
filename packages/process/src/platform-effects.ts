/** Carries out effects on the platform and polls it for hosts and tasks. */
import type { Effect } from '@baobabdeck/core';
import type { Result } from '@baobabdeck/errors';
import type { WriteEvent } from '@baobabdeck/observability';
import type { Platform } from '@baobabdeck/platform';
import type { EventBody } from './event-loop.js';

/** Dependencies of the platform effects. */
export interface PlatformEffectParts {
  readonly platform: Platform;
  readonly writeEvent: WriteEvent;
  readonly dispatch: (event: EventBody) => boolean;
  readonly isController: boolean;
  /** Time between two polls of the host list and the tasks. */
  readonly pollMilliseconds: number;
}

/** Performs platform effects and polls the platform. */
export interface PlatformEffects {
  /** Carries out an effect; returns false if it does not concern the platform. */
  readonly perform: (effect: Effect) => boolean;
  /** Polls hosts and tasks if the poll interval has passed and no poll is in progress. */
  readonly poll: () => void;
}

/** Creates the platform effects of a process; only controllers poll. */
export function createPlatformEffects({
  platform,
  writeEvent,
  dispatch,
  isController,
  pollMilliseconds,
}: PlatformEffectParts): PlatformEffects {
  let usageInFlight = false;
  let pollInFlight = false;
  let listedAsOf: Date | null = null;
  let nextPollAt = 0;

  const report = async (call: string, result: Promise<Result<unknown>>): Promise<void> => {
    const settled = await result;
    if (!settled.ok) writeEvent('platformCallFailed', { call, detail: settled.failure.detail });
  };

  const readUsage = async (hostIds: readonly string[]): Promise<void> => {
    if (usageInFlight) return;
    usageInFlight = true;
    const usage = await platform.readUsage(hostIds);
    usageInFlight = false;
    if (usage.ok) dispatch({ kind: 'usage-read', asOf: usage.value.asOf, usage: usage.value.usage });
  };

  const pollOnce = async (): Promise<void> => {
    const hosts = await platform.listHosts(listedAsOf);
    if (hosts.ok) listedAsOf = hosts.value.asOf;
    if (hosts.ok) dispatch({ kind: 'host-list-read', asOf: hosts.value.asOf, hosts: hosts.value.hosts });
    const tasks = await platform.listTasks();
    if (tasks.ok) dispatch({ kind: 'tasks-read', tasks: tasks.value });
  };

  const perform = (effect: Effect): boolean => {
    switch (effect.kind) {
      case 'read-usage':
        void readUsage(effect.hostIds);
        return true;
      case 'reboot-host':
        void report('reboot', platform.rebootHost(effect.hostId));
        return true;
      case 'start-task':
        void report('start task', platform.startTask(effect.hostId, effect.leaseId, effect.job));
        return true;
      case 'checkpoint-task':
        void report('checkpoint task', platform.checkpointTask(effect.leaseId));
        return true;
      case 'stop-task':
        void report('stop task', platform.stopTask(effect.leaseId));
        return true;
      default:
        return false;
    }
  };

  const poll = (): void => {
    const now = performance.now();
    if (!isController || pollInFlight || now < nextPollAt) return;
    pollInFlight = true;
    nextPollAt = now + pollMilliseconds;
    void pollOnce().finally(() => {
      pollInFlight = false;
    });
  };

  return { perform, poll };
}
