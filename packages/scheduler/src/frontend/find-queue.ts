/** Selects the queue of a caller's request by host name and longest path prefix. */
import type { Queue, QueueConfiguration, QueueLookup } from '../ports/index.js';

/** Finds the queue of a request; `remainingPath` is the path after the queue's prefix. */
export function findQueue(
  configuration: QueueConfiguration | null,
  hostName: string,
  path: string,
): QueueLookup {
  if (configuration === null) return { kind: 'no-configuration' };
  let best: Queue | null = null;
  for (const queue of configuration.queues) {
    const isMatch = queue.hostName === hostName && path.startsWith(queue.pathPrefix);
    if (isMatch && (best === null || queue.pathPrefix.length > best.pathPrefix.length)) best = queue;
  }
  return best === null
    ? { kind: 'unknown' }
    : { kind: 'found', queue: best, remainingPath: path.slice(best.pathPrefix.length) };
}
