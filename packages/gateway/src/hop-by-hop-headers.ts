/** Removes hop-by-hop headers, which apply to a single connection. RFC 9110, section 7.6.1. */

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Alternating header names and values, in the order received. */
export type RawHeaders = readonly string[];

/** Returns the header names that `connection` headers list, in lower case. */
function parseConnectionOptions(raw: RawHeaders): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') continue;
    (raw[index + 1] ?? '').split(',').forEach((name) => names.add(name.trim().toLowerCase()));
  }
  return names;
}

/** Returns the headers to forward: all but hop-by-hop headers and those in `excluded` (lower-case names). */
export function selectForwardedHeaders(raw: RawHeaders, excluded: ReadonlySet<string>): string[] {
  const listed = parseConnectionOptions(raw);
  const forwarded: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || listed.has(lower) || excluded.has(lower)) continue;
    forwarded.push(name, raw[index + 1] ?? '');
  }
  return forwarded;
}
