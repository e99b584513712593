/** Parses idempotency keys and finds the time that some of them carry. */
import { createHash } from 'node:crypto';
import { fail, succeed, type Result } from '@baobabdeck/errors';

const KEY = /^[\x21-\x7e]{1,255}$/;

const UUID_VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** When a UUID of version 7 was made; null for any other key. RFC 9562, section 5.7. */
export function keyTime(key: string): Date | null {
  const match = UUID_VERSION_7.exec(key);
  if (match === null) return null;
  const [, high = '', low = ''] = match;
  const HEXADECIMAL = 16;
  return new Date(Number.parseInt(high + low, HEXADECIMAL));
}

/** The key of a request, or null without one. */
export function parseKey(header: string | undefined): Result<string | null> {
  if (header === undefined) return succeed(null);
  if (KEY.test(header)) return succeed(header);
  return fail('malformedHeader', 'idempotency-key: expected one value of 1 to 255 visible ASCII characters');
}

/** Hash of some texts, such that no two lists of texts share one by their borders. */
export function hashTexts(...texts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  texts.forEach((text) => {
    hash.update(`${text.length}:`);
    hash.update(text);
  });
  return hash.digest('base64url');
}
