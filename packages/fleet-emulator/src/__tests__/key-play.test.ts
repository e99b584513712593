import { describe } from '@baobabdeck/test-tools';
import type { CallerService } from '@baobabdeck/scheduler';
import { playKeys } from '../key-play.js';
import { TROUBLE_KINDS } from '../troubles.js';

const BUSY_MILLISECONDS = 40_000;

type Authenticate = CallerService['authenticate'];

/** Accepts whatever has the form of a key. */
const acceptAnyKey = (): Authenticate => () => Promise.resolve({ kind: 'authenticated', workspace: 'red' });

/** Creates an authentication that keeps accepting each key that it has accepted once. */
function rememberKeys(): (authenticate: Authenticate) => Authenticate {
  const known = new Set<string>();
  return (authenticate) => async (queue, authorizations) => {
    const [header = ''] = authorizations;
    if (known.has(header)) return { kind: 'authenticated', workspace: 'red' };
    const answer = await authenticate(queue, authorizations);
    if (answer.kind === 'authenticated') known.add(header);
    return answer;
  };
}

describe('keys that are added and removed', ({ it }) => {
  [1, 2, 3].forEach((seed) => {
    it(`are followed by every process within 3 s in a calm play with seed ${seed}`, async (t) => {
      const { violations, accepted, refused } = await playKeys({
        seed,
        busyMilliseconds: BUSY_MILLISECONDS,
        kinds: [],
      });
      t.deepEqual(violations, []);
      t.true(accepted > 100 && refused > 100);
    });

    it(`are accepted only if they were published, among troubles with seed ${seed}`, async (t) => {
      const { violations, accepted } = await playKeys({
        seed,
        busyMilliseconds: BUSY_MILLISECONDS,
        kinds: TROUBLE_KINDS,
      });
      t.deepEqual(violations, []);
      t.true(accepted > 100);
    });
  });

  it('are found accepted by an authentication that accepts any key', async (t) => {
    const { violations } = await playKeys({
      seed: 1,
      busyMilliseconds: BUSY_MILLISECONDS,
      kinds: TROUBLE_KINDS,
      alter: acceptAnyKey,
    });
    t.true(violations.some((text) => text.endsWith('never published')));
  });

  it('are found accepted by an authentication that keeps removed keys', async (t) => {
    const { violations } = await playKeys({
      seed: 1,
      busyMilliseconds: BUSY_MILLISECONDS,
      kinds: [],
      alter: rememberKeys(),
    });
    t.true(violations.some((text) => text.endsWith('after its removal')));
  });
});
