/** Headers that belong to one connection and are not passed on. RFC 9110, section 7.6.1. */

const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Names and values in turn, as they came in. */
export type RawHeaders = readonly string[];

function listedInConnection(raw: RawHeaders): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') continue;
    (raw[index + 1] ?? '').split(',').forEach((name) => names.add(name.trim().toLowerCase()));
  }
  return names;
}

/** The headers that are passed on, without those that `replaced` names. */
export function selectPassedHeaders(raw: RawHeaders, replaced: ReadonlySet<string>): string[] {
  const listed = listedInConnection(raw);
  const passed: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_HEADERS.has(lower) || listed.has(lower) || replaced.has(lower)) continue;
    passed.push(name, raw[index + 1] ?? '');
  }
  return passed;
}
