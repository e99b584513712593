/** Parses the request line and headers of a caller's request. */
import type { IncomingMessage } from 'node:http';
import { fail, succeed, type Result } from '@baobabdeck/errors';
import type { CapabilityNeed } from '@baobabdeck/types';
import { hashParts, parseKeyCreationTime, parseKey } from './parse-key.js';
import { parseNeeds } from './parse-needs.js';

/** Methods that are repeatable unless `baobabdeck-repeatable` says otherwise. RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

const MAXIMUM_DEADLINE_MILLISECONDS = 86_400_000;

/** Headers that the gateway reads and that may occur only once. */
const SINGLE_VALUE_HEADERS = [
  'idempotency-key',
  'baobabdeck-repeatable',
  'baobabdeck-needs',
  'baobabdeck-deadline-ms',
  'baobabdeck-class',
  'baobabdeck-caller',
];

/** Request line and headers of a request in parsed form. */
export interface ParsedRequest {
  readonly service: string;
  /** Path and query sent to the target, without the service name. */
  readonly targetPath: string;
  readonly caller: string;
  /** Method, service and first path segment, as `GET luthier/quotes`. */
  readonly workKind: string;
  readonly repeatable: boolean;
  readonly needs: readonly CapabilityNeed[];
  readonly deadlineMilliseconds: number | null;
  readonly hint: 'short' | 'long' | null;
  readonly key: string | null;
  /** Creation time of a version 7 UUID key; null for any other key. */
  readonly keyMadeAt: Date | null;
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function findRepeatedHeader(request: IncomingMessage): string | undefined {
  const names = request.rawHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  return SINGLE_VALUE_HEADERS.find(
    (singleName) => names.indexOf(singleName) !== names.lastIndexOf(singleName),
  );
}

function parseRepeatable(request: IncomingMessage): Result<boolean> {
  const value = readHeader(request, 'baobabdeck-repeatable');
  if (value === undefined) return succeed(IDEMPOTENT_METHODS.has(request.method ?? ''));
  if (value === 'yes' || value === 'no') return succeed(value === 'yes');
  return fail('malformedHeader', `baobabdeck-repeatable: expected 'yes' or 'no', found '${value}'`);
}

function parseDeadline(request: IncomingMessage): Result<number | null> {
  const value = readHeader(request, 'baobabdeck-deadline-ms');
  if (value === undefined) return succeed(null);
  const milliseconds = /^\d{1,8}$/.test(value) ? Number(value) : 0;
  if (milliseconds >= 1 && milliseconds <= MAXIMUM_DEADLINE_MILLISECONDS) return succeed(milliseconds);
  return fail(
    'malformedHeader',
    `baobabdeck-deadline-ms: expected 1 to ${MAXIMUM_DEADLINE_MILLISECONDS}, found '${value}'`,
  );
}

function parseHint(request: IncomingMessage): Result<'short' | 'long' | null> {
  const value = readHeader(request, 'baobabdeck-class');
  if (value === undefined) return succeed(null);
  if (value === 'short' || value === 'long') return succeed(value);
  return fail('malformedHeader', `baobabdeck-class: expected 'short' or 'long', found '${value}'`);
}

/** Identifies the caller by `baobabdeck-caller`, else by a hash of its credentials, else by its address. */
function identifyCaller(request: IncomingMessage): string {
  const callerName = readHeader(request, 'baobabdeck-caller');
  if (callerName !== undefined && callerName !== '') return `name:${callerName}`;
  const credentials = request.headers.authorization;
  if (credentials !== undefined) return `credentials:${hashParts(credentials)}`;
  return `address:${request.socket.remoteAddress ?? 'unknown'}`;
}

interface SplitPath {
  readonly service: string;
  readonly targetPath: string;
  readonly firstSegment: string;
}

function splitPath(url: string): SplitPath | null {
  const match = /^\/([^/?#]+)([^#]*)$/.exec(url);
  if (match === null) return null;
  const [, service = '', rest = ''] = match;
  const targetPath = rest.startsWith('/') ? rest : `/${rest}`;
  const [firstSegment = ''] = targetPath.slice(1).split(/[/?]/);
  return { service, targetPath, firstSegment };
}

/** Parses a request. Fails with `unknownService` for a malformed path and `malformedHeader` for an invalid header. */
export function parseRequest(request: IncomingMessage): Result<ParsedRequest> {
  const path = splitPath(request.url ?? '');
  if (path === null) {
    return fail('unknownService', `Expected a path as /<service>/..., found '${request.url ?? ''}'`);
  }
  const repeatedHeader = findRepeatedHeader(request);
  if (repeatedHeader !== undefined) {
    return fail('malformedHeader', `${repeatedHeader}: expected once, found more than once`);
  }
  const key = parseKey(readHeader(request, 'idempotency-key'));
  if (!key.ok) return key;
  const repeatable = parseRepeatable(request);
  if (!repeatable.ok) return repeatable;
  const needs = parseNeeds(readHeader(request, 'baobabdeck-needs'));
  if (!needs.ok) return needs;
  const deadline = parseDeadline(request);
  if (!deadline.ok) return deadline;
  const hint = parseHint(request);
  if (!hint.ok) return hint;
  return succeed({
    service: path.service,
    targetPath: path.targetPath,
    caller: identifyCaller(request),
    workKind: `${request.method ?? ''} ${path.service}/${path.firstSegment}`,
    repeatable: repeatable.value,
    needs: needs.value,
    deadlineMilliseconds: deadline.value,
    hint: hint.value,
    key: key.value,
    keyMadeAt: key.value === null ? null : parseKeyCreationTime(key.value),
  });
}
