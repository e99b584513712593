/** Turns a caller's request line and headers into what the core decides on. */
import type { IncomingMessage } from 'node:http';
import { fail, succeed, type Result } from '@baobabdeck/errors';
import type { CapabilityNeed } from '@baobabdeck/types';
import { hashTexts, keyTime, parseKey } from './parse-key.js';
import { parseNeeds } from './parse-needs.js';

/** Methods whose requests may run more than once unless the caller says otherwise. RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS']);

const LONGEST_DEADLINE_MILLISECONDS = 86_400_000;

/** Headers that mean something here and must not be repeated. */
const SINGLE_HEADERS = [
  'idempotency-key',
  'baobabdeck-repeatable',
  'baobabdeck-needs',
  'baobabdeck-deadline-ms',
  'baobabdeck-class',
  'baobabdeck-caller',
];

/** A request as its head describes it. */
export interface ParsedRequest {
  readonly service: string;
  /** Path and query for the target. */
  readonly targetPath: string;
  readonly caller: string;
  readonly workKind: string;
  readonly repeatable: boolean;
  readonly needs: readonly CapabilityNeed[];
  readonly deadlineMilliseconds: number | null;
  readonly hint: 'short' | 'long' | null;
  readonly key: string | null;
  readonly keyMadeAt: Date | null;
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function findRepeatedHeader(request: IncomingMessage): string | undefined {
  const names = request.rawHeaders.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase());
  return SINGLE_HEADERS.find((single) => names.indexOf(single) !== names.lastIndexOf(single));
}

function parseRepeatable(request: IncomingMessage): Result<boolean> {
  const value = header(request, 'baobabdeck-repeatable');
  if (value === undefined) return succeed(IDEMPOTENT_METHODS.has(request.method ?? ''));
  if (value === 'yes' || value === 'no') return succeed(value === 'yes');
  return fail('malformedHeader', `baobabdeck-repeatable: expected 'yes' or 'no', found '${value}'`);
}

function parseDeadline(request: IncomingMessage): Result<number | null> {
  const value = header(request, 'baobabdeck-deadline-ms');
  if (value === undefined) return succeed(null);
  const milliseconds = /^\d{1,8}$/.test(value) ? Number(value) : 0;
  if (milliseconds >= 1 && milliseconds <= LONGEST_DEADLINE_MILLISECONDS) return succeed(milliseconds);
  return fail(
    'malformedHeader',
    `baobabdeck-deadline-ms: expected 1 to ${LONGEST_DEADLINE_MILLISECONDS}, found '${value}'`,
  );
}

function parseHint(request: IncomingMessage): Result<'short' | 'long' | null> {
  const value = header(request, 'baobabdeck-class');
  if (value === undefined) return succeed(null);
  if (value === 'short' || value === 'long') return succeed(value);
  return fail('malformedHeader', `baobabdeck-class: expected 'short' or 'long', found '${value}'`);
}

/** Whose request it is: what the caller says, else its credentials, else its address. */
function findCaller(request: IncomingMessage): string {
  const named = header(request, 'baobabdeck-caller');
  if (named !== undefined && named !== '') return `name:${named}`;
  const credentials = request.headers.authorization;
  if (credentials !== undefined) return `credentials:${hashTexts(credentials)}`;
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

/** The request, or what is wrong with its head. */
export function parseRequest(request: IncomingMessage): Result<ParsedRequest> {
  const path = splitPath(request.url ?? '');
  if (path === null) {
    return fail('unknownService', `Expected a path as /<service>/..., found '${request.url ?? ''}'`);
  }
  const repeated = findRepeatedHeader(request);
  if (repeated !== undefined) {
    return fail('malformedHeader', `${repeated}: expected once, found more than once`);
  }
  const key = parseKey(header(request, 'idempotency-key'));
  if (!key.ok) return key;
  const repeatable = parseRepeatable(request);
  if (!repeatable.ok) return repeatable;
  const needs = parseNeeds(header(request, 'baobabdeck-needs'));
  if (!needs.ok) return needs;
  const deadline = parseDeadline(request);
  if (!deadline.ok) return deadline;
  const hint = parseHint(request);
  if (!hint.ok) return hint;
  return succeed({
    service: path.service,
    targetPath: path.targetPath,
    caller: findCaller(request),
    workKind: `${request.method ?? ''} ${path.service}/${path.firstSegment}`,
    repeatable: repeatable.value,
    needs: needs.value,
    deadlineMilliseconds: deadline.value,
    hint: hint.value,
    key: key.value,
    keyMadeAt: key.value === null ? null : keyTime(key.value),
  });
}
