import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import { selectForwardedHeaders } from '../hop-by-hop-headers.js';
import { hashParts, parseKeyCreationTime } from '../parse-key.js';
import { parseNeeds } from '../parse-needs.js';
import { parseRequest } from '../parse-request.js';

function createRequest(
  url: string,
  headers: Readonly<Record<string, string>>,
  method = 'GET',
): IncomingMessage {
  const request = new IncomingMessage(new Socket());
  Object.assign(request, { url, method });
  Object.entries(headers).forEach(([name, value]) => {
    request.headers[name] = value;
    request.rawHeaders.push(name, value);
  });
  return request;
}

function parseFailureCode(url: string, headers: Readonly<Record<string, string>>): number | null {
  const parsed = parseRequest(createRequest(url, headers));
  return parsed.ok ? null : parsed.failure.code;
}

describe('parseRequest', ({ describe: within, it }) => {
  it('reads the service from the first path segment', (t) => {
    const parsed = parseRequest(createRequest('/luthier/quotes/17?full=yes', {}));
    t.like(parsed, {
      ok: true,
      value: { service: 'luthier', targetPath: '/quotes/17?full=yes', workKind: 'GET luthier/quotes' },
    });
  });

  it('derives repeatability from the method unless the caller sets it', (t) => {
    const repeatable = (method: string, headers = {}) => parseRequest(createRequest('/s/', headers, method));
    t.like(repeatable('PUT'), { value: { repeatable: true } });
    t.like(repeatable('POST'), { value: { repeatable: false } });
    t.like(repeatable('GET', { 'baobabdeck-repeatable': 'no' }), { value: { repeatable: false } });
  });

  within('fails with code 1003 for', ({ it: refuses }) => {
    const malformedHeaders: Readonly<Record<string, Readonly<Record<string, string>>>> = {
      'a deadline of 0': { 'baobabdeck-deadline-ms': '0' },
      'a deadline of more than a day': { 'baobabdeck-deadline-ms': '86400001' },
      'an unknown class': { 'baobabdeck-class': 'medium' },
      'an unknown value for repeatable': { 'baobabdeck-repeatable': 'maybe' },
      'a need without a name': { 'baobabdeck-needs': 'gpu,,cores' },
      'a key with a space': { 'idempotency-key': 'a b' },
    };
    Object.entries(malformedHeaders).forEach(([title, headers]) =>
      refuses(title, (t) => {
        t.is(parseFailureCode('/s/', headers), 1003);
      }),
    );
    refuses('a header that occurs twice', (t) => {
      const request = createRequest('/s/', { 'idempotency-key': 'a' });
      request.rawHeaders.push('Idempotency-Key', 'b');
      t.like(parseRequest(request), { ok: false, failure: { code: 1003 } });
    });
  });

  it('returns a request or code 1001 or 1003 for arbitrary paths and headers', (t) => {
    const names = fc.constantFrom(
      'idempotency-key',
      'baobabdeck-needs',
      'baobabdeck-deadline-ms',
      'baobabdeck-class',
      'baobabdeck-repeatable',
      'x',
    );
    const property = fc.property(fc.string(), fc.dictionary(names, fc.string()), (url, headers) => {
      const parsed = parseRequest(createRequest(`/${url}`, headers));
      return parsed.ok || [1001, 1003].includes(parsed.failure.code);
    });
    t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 2_000 }));
  });
});

describe('parseNeeds', ({ it }) => {
  it('parses quantities and features with versions', (t) => {
    t.deepEqual(parseNeeds('gpu, memory-gb>=32, soundboard>=2'), {
      ok: true,
      value: [
        { kind: 'quantity', name: 'gpu', minimum: 1 },
        { kind: 'quantity', name: 'memory-gb', minimum: 32 },
        { kind: 'feature', name: 'soundboard', minimumVersion: 2 },
      ],
    });
  });
});

describe('idempotency keys', ({ it }) => {
  it('yields the creation time of a version 7 UUID and null for other UUIDs', (t) => {
    t.is(
      parseKeyCreationTime('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')?.toISOString(),
      '2022-02-22T19:22:22.000Z',
    );
    t.is(parseKeyCreationTime('0f8fad5b-d9cb-469f-a165-70867728950e'), null);
  });

  it('hashes the same characters differently when they are split differently', (t) => {
    const property = fc.property(fc.string(), fc.string(), fc.string(), (left, middle, right) => {
      const isCollision = hashParts(left + middle, right) === hashParts(left, middle + right);
      return middle === '' || !isCollision;
    });
    t.notThrows(() => fc.assert(property, { seed: 5 }));
  });
});

describe('selectForwardedHeaders', ({ it }) => {
  it('drops hop-by-hop headers and headers listed in Connection', (t) => {
    const raw = [
      'Connection',
      'close, X-Private',
      'X-Private',
      '1',
      'Transfer-Encoding',
      'chunked',
      'X-Kept',
      '2',
      'X-Kept',
      '3',
    ];
    t.deepEqual(selectForwardedHeaders(raw, new Set()), ['X-Kept', '2', 'X-Kept', '3']);
  });
});
