/** Follows the operator's entries. A configuration is never replaced by an older version. */
import type { WriteEvent } from '@baobabdeck/observability';
import type {
  OperatorEntry,
  OperatorFeed,
  OperatorReadOutcome,
  QueueConfiguration,
  WaveRequest,
} from '../ports/index.js';
import { readConfiguration } from './configuration-reads.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** The configuration in force, and the waves requested so far. */
export interface ConfigurationFollower {
  readonly current: () => QueueConfiguration | null;
  readonly waves: () => readonly WaveRequest[];
  /** When the newest read that was answered was sent; -Infinity before the first. */
  readonly answeredSince: () => number;
  /** Reads once if the process was paused since its last reads, so that it cannot decide by an old version. */
  readonly refreshIfStale: () => Promise<void>;
  readonly close: () => void;
}

/** Dependencies of the follower. */
export interface ConfigurationParts {
  readonly feed: OperatorFeed;
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly writeEvent: WriteEvent;
  readonly onConfiguration: (configuration: QueueConfiguration) => void;
  readonly onWave: (wave: WaveRequest) => void;
}

/** Starts to follow the operator's entries. */
export function followConfiguration(parts: ConfigurationParts): ConfigurationFollower {
  const { feed, clock, writeEvent } = parts;
  const waves = new Map<number, WaveRequest>();
  let current: QueueConfiguration | null = null;
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

  const reads = readConfiguration({
    feed,
    clock,
    background: parts.background,
    onOutcome: (outcome) => {
      recordReachability(outcome);
      if (outcome.kind === 'read') outcome.entries.forEach(applyEntry);
    },
  });
  return {
    current: () => current,
    waves: () => [...waves.values()],
    answeredSince: reads.answeredSince,
    refreshIfStale: reads.refreshIfStale,
    close: reads.close,
  };
}
