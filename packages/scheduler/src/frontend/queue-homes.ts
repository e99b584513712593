/**
 * Homes of queues. The inbox of a queue's home takes all jobs of the queue, whatever service the queue has now, so that one
 * owner decides which submissions are new. A home is recorded once and never changes.
 */
import { createHash } from 'node:crypto';
import type { WriteEvent } from '@baobabdeck/observability';
import { Decoder, Encoder } from 'cbor-x';
import type { LogPartition, Queue, Store } from '../ports/index.js';
import { queueAddressOf } from './queue-address.js';
import type { SteadyClock } from '../node/steady-clock.js';

/** The log that holds the home of each queue, by the digest of its address: keys of the store are short. */
const HOMES_PARTITION: LogPartition = { topic: 'keyed.queues', partition: 0 };

const RETRY_MILLISECONDS = 60;

const encoder = new Encoder({ useRecords: false });
const decoder = new Decoder({ useRecords: false });

/** The home of a queue, as far as it can be known now. */
export type HomeLookup =
  | { readonly kind: 'found'; readonly service: string }
  /** No job of the queue has been accepted. */
  | { readonly kind: 'none' }
  /** The store does not answer. */
  | { readonly kind: 'unavailable' };

/** The homes of all queues. */
export interface QueueHomes {
  /** The home if this process has read it; null if it has not. */
  readonly known: (queue: Queue) => string | null;
  /** Reads the homes, unless they were read at most `maximumAgeMilliseconds` ago or the home is known. */
  readonly find: (queue: Queue, maximumAgeMilliseconds: number) => Promise<HomeLookup>;
  /** Returns the home, which becomes the present service of a queue without one; null if the store does not answer in time. */
  readonly ensure: (queue: Queue, until: number) => Promise<string | null>;
}

/** Dependencies of the homes. */
export interface QueueHomesParts {
  readonly store: Pick<Store, 'append' | 'readNewest'>;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  /** Whether the store has stopped answering this process. */
  readonly isStoreLost: () => boolean;
}

function homeKeyOf(queue: Queue): string {
  return createHash('sha256').update(queueAddressOf(queue)).digest('base64url');
}

/** Creates the homes, at first unread. */
export function createQueueHomes({ store, clock, writeEvent, isStoreLost }: QueueHomesParts): QueueHomes {
  const homes = new Map<string, string>();
  const ensuring = new Map<string, Promise<string | null>>();
  let readAt = -Infinity;
  let reading: Promise<number | null> | null = null;

  const known = (queue: Queue): string | null => homes.get(homeKeyOf(queue)) ?? null;

  /** Reads all homes and returns the offset at which the log ended; null if the store does not answer. */
  const readHomes = async (): Promise<number | null> => {
    const askedAt = clock.steadyNow();
    const page = await store.readNewest(HOMES_PARTITION);
    if (page.kind !== 'read') return null;
    page.records.forEach(({ key, value }) => {
      if (value !== null && !homes.has(key)) homes.set(key, String(decoder.decode(value)));
    });
    readAt = askedAt;
    return page.nextOffset;
  };

  const shareRead = (): Promise<number | null> => {
    reading ??= readHomes().finally(() => {
      reading = null;
    });
    return reading;
  };

  const find = async (queue: Queue, maximumAgeMilliseconds: number): Promise<HomeLookup> => {
    const isRecent = clock.steadyNow() - readAt <= maximumAgeMilliseconds;
    if (known(queue) === null && !isRecent && (await shareRead()) === null) return { kind: 'unavailable' };
    const service = known(queue);
    return service === null ? { kind: 'none' } : { kind: 'found', service };
  };

  /** Records the present service as the home, provided that nobody has recorded a home since the homes were read. */
  const record = async (queue: Queue): Promise<string | null> => {
    const end = await shareRead();
    if (end === null || known(queue) !== null) return known(queue);
    const key = homeKeyOf(queue);
    const outcome = await store.append({
      partition: HOMES_PARTITION,
      records: [{ key, value: encoder.encode(queue.service) }],
      producer: null,
      expectedEnd: end,
    });
    if (outcome.kind === 'stored') {
      homes.set(key, queue.service);
      writeEvent('queueHomeRecorded', { queue: queue.name, service: queue.service });
    }
    return known(queue);
  };

  const recordUntil = async (queue: Queue, until: number): Promise<string | null> => {
    for (;;) {
      const service = await record(queue);
      if (service !== null || clock.steadyNow() >= until || isStoreLost()) return service;
      await clock.sleep(RETRY_MILLISECONDS);
    }
  };

  const ensure = (queue: Queue, until: number): Promise<string | null> => {
    const key = homeKeyOf(queue);
    const service = known(queue);
    if (service !== null) return Promise.resolve(service);
    const running = ensuring.get(key);
    if (running !== undefined) return running;
    const started = recordUntil(queue, until).finally(() => ensuring.delete(key));
    ensuring.set(key, started);
    return started;
  };

  return { known, find, ensure };
}
