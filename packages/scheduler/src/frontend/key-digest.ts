/** Digests of callers' keys. Only digests are kept and compared, so that no key reaches a log, a record or a snapshot. */
import { createHash } from 'node:crypto';

/** Returns the SHA-256 digest of a key as 64 hexadecimal digits. */
export function digestKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
