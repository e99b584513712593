import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { describe } from '@baobabdeck/test-tools';
import fc from 'fast-check';
import { selectPassedHeaders } from '../hop-headers.js';
import { hashTexts, keyTime } from '../parse-key.js';
import { parseNeeds } from '../parse-needs.js';
import { parseRequest } from '../parse-request.js';

function requestWith(
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

function codeOf(url: string, headers: Readonly<Record<string, string>>): number | null {
  const parsed = parseRequest(requestWith(url, headers));
  return parsed.ok ? null : parsed.failure.code;
}

describe('a request', ({ describe: within, it }) => {
  it('names its service by the first segment of the path', (t) => {
    const parsed = parseRequest(requestWith('/luthier/quotes/17?full=yes', {}));
    t.like(parsed, {
      ok: true,
      value: { service: 'luthier', targetPath: '/quotes/17?full=yes', workKind: 'GET luthier/quotes' },
    });
  });

  it('may run more than once by its method, unless the caller says otherwise', (t) => {
    const repeatable = (method: string, headers = {}) => parseRequest(requestWith('/s/', headers, method));
    t.like(repeatable('PUT'), { value: { repeatable: true } });
    t.like(repeatable('POST'), { value: { repeatable: false } });
    t.like(repeatable('GET', { 'baobabdeck-repeatable': 'no' }), { value: { repeatable: false } });
  });

  within('is refused with 1003 for', ({ it: refuses }) => {
    const wrong: Readonly<Record<string, Readonly<Record<string, string>>>> = {
      'a deadline of 0': { 'baobabdeck-deadline-ms': '0' },
      'a deadline beyond a day': { 'baobabdeck-deadline-ms': '86400001' },
      'an unknown class': { 'baobabdeck-class': 'medium' },
      'an unknown word for repeatable': { 'baobabdeck-repeatable': 'maybe' },
      'a need without a name': { 'baobabdeck-needs': 'gpu,,cores' },
      'a key with a space': { 'idempotency-key': 'a b' },
    };
    Object.entries(wrong).forEach(([title, headers]) =>
      refuses(title, (t) => {
        t.is(codeOf('/s/', headers), 1003);
      }),
    );
    refuses('a header that is given twice', (t) => {
      const request = requestWith('/s/', { 'idempotency-key': 'a' });
      request.rawHeaders.push('Idempotency-Key', 'b');
      t.like(parseRequest(request), { ok: false, failure: { code: 1003 } });
    });
  });

  it('is parsed or refused, whatever its headers hold', (t) => {
    const names = fc.constantFrom(
      'idempotency-key',
      'baobabdeck-needs',
      'baobabdeck-deadline-ms',
      'baobabdeck-class',
      'baobabdeck-repeatable',
      'x',
    );
    const property = fc.property(fc.string(), fc.dictionary(names, fc.string()), (url, headers) => {
      const parsed = parseRequest(requestWith(`/${url}`, headers));
      return parsed.ok || [1001, 1003].includes(parsed.failure.code);
    });
    t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 2_000 }));
  });
});

describe('needs', ({ it }) => {
  it('are quantities or features with versions', (t) => {
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

describe('a key', ({ it }) => {
  it('of version 7 carries its time', (t) => {
    t.is(keyTime('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')?.toISOString(), '2022-02-22T19:22:22.000Z');
    t.is(keyTime('0f8fad5b-d9cb-469f-a165-70867728950e'), null);
  });

  it('never shares a hash by the borders of its parts', (t) => {
    const property = fc.property(fc.string(), fc.string(), fc.string(), (left, middle, right) => {
      const moved = hashTexts(left + middle, right) === hashTexts(left, middle + right);
      return middle === '' || !moved;
    });
    t.notThrows(() => fc.assert(property, { seed: 5 }));
  });
});

describe('headers', ({ it }) => {
  it('of one connection are not passed on, nor those that it lists', (t) => {
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
    t.deepEqual(selectPassedHeaders(raw, new Set()), ['X-Kept', '2', 'X-Kept', '3']);
  });
});
