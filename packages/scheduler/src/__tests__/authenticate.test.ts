import { describe } from '@baobabdeck/test-tools';
import { NO_CAP } from '@baobabdeck/scheduling';
import { authenticate } from '../frontend/authenticate.js';
import { digestKey } from '../frontend/key-digest.js';
import { recordUnauthenticatedCalls } from '../frontend/unauthenticated-calls.js';
import type { Queue, QueueConfiguration, Workspace } from '../ports/index.js';
import { createManualClock } from './manual-clock.js';
import { createTestBackground } from './test-background.js';

const QUEUE: Queue = {
  name: 'quotes',
  hostName: 'example',
  pathPrefix: '/quotes/',
  service: 'quotes',
  timeoutMilliseconds: 3_000,
  targetMilliseconds: 500,
  stretch: 2,
  priority: 0,
  maximumFailedRuns: 3,
  advice: null,
  isPublic: false,
};

function workspaceOf(name: string, ...keys: readonly string[]): Workspace {
  return { name, keyDigests: keys.map(digestKey), weight: 1, cap: NO_CAP };
}

function configurationOf(...workspaces: readonly Workspace[]): QueueConfiguration {
  return {
    version: 1,
    queues: [QUEUE],
    services: [],
    workspaces,
    limits: {
      headerBytes: 16_384,
      bodyBytes: 262_144,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
  };
}

const CONFIGURATION = configurationOf(workspaceOf('red', 'r1', 'r2'), workspaceOf('blue', 'b1'));

describe('authentication of a caller', ({ it }) => {
  const CASES: readonly (readonly [title: string, headers: readonly string[], outcome: string])[] = [
    ['accepts each key of a workspace', ['Bearer r2'], 'red'],
    ['accepts the key of another workspace', ['Bearer b1'], 'blue'],
    ['accepts the scheme in other case and with more spaces', ['bearer   b1'], 'blue'],
    ['refuses a call without a header', [], 'no-header'],
    ['refuses several headers, also if each is valid', ['Bearer r1', 'Bearer r1'], 'several-headers'],
    ['refuses another scheme', ['Basic r1'], 'malformed-header'],
    ['refuses a key without a scheme', ['r1'], 'malformed-header'],
    ['refuses a scheme without a key', ['Bearer '], 'malformed-header'],
    ['refuses an empty header', [''], 'malformed-header'],
    ['refuses two keys in one header', ['Bearer r1 b1'], 'malformed-header'],
    ['refuses joined headers', ['Bearer r1, Bearer r1'], 'malformed-header'],
    ['refuses an unknown key', ['Bearer r3'], 'unknown-key'],
    ['refuses a key in other case', ['Bearer R1'], 'unknown-key'],
    ['refuses the digest of a key', [`Bearer ${digestKey('r1')}`], 'unknown-key'],
    ['refuses the name of a workspace', ['Bearer red'], 'unknown-key'],
  ];
  CASES.forEach(([title, headers, outcome]) => {
    it(title, (t) => {
      const answer = authenticate(CONFIGURATION, QUEUE, headers);
      t.is(answer.kind === 'authenticated' ? answer.workspace : answer.reason, outcome);
    });
  });

  it('needs no key for a public queue, and ignores a wrong one', (t) => {
    [[], ['Bearer r3'], ['Bearer r1']].forEach((headers) => {
      t.deepEqual(authenticate(CONFIGURATION, { ...QUEUE, isPublic: true }, headers), {
        kind: 'authenticated',
        workspace: null,
      });
    });
  });

  it('needs no key if the configuration has no workspaces', (t) => {
    t.deepEqual(authenticate(configurationOf(), QUEUE, ['Bearer r3']), {
      kind: 'authenticated',
      workspace: null,
    });
  });

  it('refuses every key if no workspace has one', (t) => {
    t.is(authenticate(configurationOf(workspaceOf('red')), QUEUE, ['Bearer r1']).kind, 'unauthenticated');
  });

  it('follows each version: an index of an earlier one would keep a removed key', (t) => {
    t.is(authenticate(CONFIGURATION, QUEUE, ['Bearer r1']).kind, 'authenticated');
    const next = { ...configurationOf(workspaceOf('red', 'r9')), version: 2 };
    t.is(authenticate(next, QUEUE, ['Bearer r1']).kind, 'unauthenticated');
    t.is(authenticate(next, QUEUE, ['Bearer r9']).kind, 'authenticated');
  });

  it('assigns a key of two workspaces to the first', (t) => {
    const shared = configurationOf(workspaceOf('red', 'k'), workspaceOf('blue', 'k'));
    t.like(authenticate(shared, QUEUE, ['Bearer k']), { workspace: 'red' });
  });
});

describe('the log of refused calls', ({ it }) => {
  it('has one line a second for a flood of calls, by queue and reason, and counts each call', async (t) => {
    const clock = createManualClock();
    const lines: unknown[] = [];
    const record = recordUnauthenticatedCalls(
      clock,
      (_name, fields) => lines.push(fields),
      createTestBackground(clock),
    );
    for (let call = 0; call < 50; call += 1) record('quotes', 'unknown-key');
    record('quotes', 'no-header');
    t.deepEqual(lines, [
      { queue: 'quotes', reason: 'unknown-key', calls: 1 },
      { queue: 'quotes', reason: 'no-header', calls: 1 },
    ]);
    await clock.advance(1_000);
    t.deepEqual(lines.slice(2), [{ queue: 'quotes', reason: 'unknown-key', calls: 49 }]);
    await clock.advance(1_000);
    record('quotes', 'unknown-key');
    t.deepEqual(lines.slice(3), [{ queue: 'quotes', reason: 'unknown-key', calls: 1 }]);
  });
});
