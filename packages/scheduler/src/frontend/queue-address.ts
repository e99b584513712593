/** Address of a queue: what callers select it by. */
import type { Queue } from '../ports/index.js';

/** Returns the host name and path prefix of a queue, which identify it while its name and its service change. */
export function queueAddressOf({ hostName, pathPrefix }: Pick<Queue, 'hostName' | 'pathPrefix'>): string {
  return hostName + pathPrefix;
}
