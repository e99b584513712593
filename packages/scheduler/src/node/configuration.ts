/** Follows what the operator publishes. A configuration never gives way to an older one. */
import type { WriteEvent } from '@baobabdeck/observability';
import type {
  OperatorEntry,
  OperatorFeed,
  OperatorReadOutcome,
  QueueConfiguration,
  WaveRequest,
} from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** The longest that a read waits: one whose answer is lost must not hide a new configuration for long. */
const READ_WAIT_MILLISECONDS = 900;
const FAILURE_PAUSE_MILLISECONDS = 150;

/** What is in force. */
export interface ConfigurationFollower {
  readonly current: () => QueueConfiguration | null;
  readonly waves: () => readonly WaveRequest[];
  readonly close: () => void;
}

/** What the follower needs. */
export interface ConfigurationParts {
  readonly feed: OperatorFeed;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly onConfiguration: (configuration: QueueConfiguration) => void;
  readonly onWave: (wave: WaveRequest) => void;
}

/** Begins to follow. */
export function followConfiguration(parts: ConfigurationParts): ConfigurationFollower {
  const { feed, clock, writeEvent } = parts;
  const waves = new Map<number, WaveRequest>();
  let current: QueueConfiguration | null = null;
  let nextOffset: number | null = null;
  let closed = false;
  let wasReachable = true;

  const offer = (configuration: QueueConfiguration): void => {
    if (current !== null && configuration.version <= current.version) return;
    const { version, queues, services } = configuration;
    writeEvent('configurationInForce', {
      version,
      source: 'store',
      former: current?.version ?? null,
      queues: queues.length,
      services: services.length,
    });
    current = configuration;
    parts.onConfiguration(configuration);
  };

  const take = (entry: OperatorEntry): void => {
    if (entry.kind === 'configuration') {
      offer(entry.configuration);
    } else if (!waves.has(entry.wave.wave)) {
      waves.set(entry.wave.wave, entry.wave);
      parts.onWave(entry.wave);
    }
  };

  const noteReachable = (outcome: OperatorReadOutcome): void => {
    const isReachable = outcome.kind === 'read';
    if (isReachable !== wasReachable && outcome.kind !== 'expired') {
      writeEvent(isReachable ? 'storeReachable' : 'storeUnreachable', { outcome: outcome.kind });
      wasReachable = isReachable;
    }
  };

  const readOnce = async (): Promise<void> => {
    const wait = wasReachable ? READ_WAIT_MILLISECONDS : 0;
    const outcome = nextOffset === null ? await feed.readNewest() : await feed.read(nextOffset, wait);
    noteReachable(outcome);
    if (outcome.kind === 'read') {
      outcome.entries.forEach(take);
      nextOffset = outcome.nextOffset;
    } else if (outcome.kind === 'expired') {
      nextOffset = null;
    } else {
      await clock.sleep(FAILURE_PAUSE_MILLISECONDS);
    }
  };

  const follow = async (): Promise<void> => {
    while (!closed) await readOnce();
  };
  void follow();
  return {
    current: () => current,
    waves: () => [...waves.values()],
    close: () => {
      closed = true;
    },
  };
}
