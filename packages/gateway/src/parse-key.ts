/** Parses and hashes idempotency keys. */
import { createHash } from 'node:crypto';
import { fail, succeed, type Result } from '@baobabdeck/errors';

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

const UUID_VERSION_7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the creation time that a version 7 UUID contains, or null for any other key. RFC 9562, section 5.7. */
export function parseKeyCreationTime(key: string): Date | null {
  const match = UUID_VERSION_7_PATTERN.exec(key);
  if (match === null) return null;
  const [, high = '', low = ''] = match;
  const HEXADECIMAL = 16;
  return new Date(Number.parseInt(high + low, HEXADECIMAL));
}

/** Parses the `idempotency-key` header. Returns null without one and fails with `malformedHeader`. */
export function parseKey(header: string | undefined): Result<string | null> {
  if (header === undefined) return succeed(null);
  if (KEY_PATTERN.test(header)) return succeed(header);
  return fail('malformedHeader', 'idempotency-key: expected one value of 1 to 255 visible ASCII characters');
}

/** Hashes a list of parts with their lengths, so that `['ab', 'c']` and `['a', 'bc']` have different hashes. */
export function hashParts(...parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('base64url');
}
