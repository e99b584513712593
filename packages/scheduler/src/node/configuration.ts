/** Follows the operator's entries. A configuration is never replaced by an older version. */
import type { WriteEvent } from '@baobabdeck/observability';
import type {
  OperatorEntry,
  OperatorFeed,
  OperatorReadOutcome,
  QueueConfiguration,
  WaveRequest,
} from '../ports/index.js';
import type { SteadyClock } from './steady-clock.js';

/** Longest wait of a read; bounds the delay of a new configuration if the answer to a read is lost. */
const READ_WAIT_MILLISECONDS = 900;
const FAILURE_PAUSE_MILLISECONDS = 150;

/** The configuration in force, and the waves requested so far. */
export interface ConfigurationFollower {
  readonly current: () => QueueConfiguration | null;
  readonly waves: () => readonly WaveRequest[];
  readonly close: () => void;
}

/** Dependencies of the follower. */
export interface ConfigurationParts {
  readonly feed: OperatorFeed;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly onConfiguration: (configuration: QueueConfiguration) => void;
  readonly onWave: (wave: WaveRequest) => void;
}

/** Starts to follow the operator's entries. */
export function followConfiguration(parts: ConfigurationParts): ConfigurationFollower {
  const { feed, clock, writeEvent } = parts;
  const waves = new Map<number, WaveRequest>();
  let current: QueueConfiguration | null = null;
  let nextOffset: number | null = null;
  let closed = false;
  let wasReachable = true;

  const applyConfiguration = (configuration: QueueConfiguration): void => {
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

  const applyEntry = (entry: OperatorEntry): void => {
    if (entry.kind === 'configuration') {
      applyConfiguration(entry.configuration);
    } else if (!waves.has(entry.wave.wave)) {
      waves.set(entry.wave.wave, entry.wave);
      parts.onWave(entry.wave);
    }
  };

  const recordReachability = (outcome: OperatorReadOutcome): void => {
    const isReachable = outcome.kind === 'read';
    if (isReachable !== wasReachable && outcome.kind !== 'expired') {
      writeEvent(isReachable ? 'storeReachable' : 'storeUnreachable', { outcome: outcome.kind });
      wasReachable = isReachable;
    }
  };

  const readOnce = async (): Promise<void> => {
    const wait = wasReachable ? READ_WAIT_MILLISECONDS : 0;
    const outcome = nextOffset === null ? await feed.readNewest() : await feed.read(nextOffset, wait);
    recordReachability(outcome);
    if (outcome.kind === 'read') {
      outcome.entries.forEach(applyEntry);
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
