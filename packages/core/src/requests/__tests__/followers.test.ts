import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import type { Step } from '../../effect.js';
import { emptyFoldState, type KeyState } from '../../fold/fold-state.js';
import { foldKeysRecord } from '../../fold/keys.js';
import { DEFAULT_PARAMETERS } from '../../parameters.js';
import { initialState, type State } from '../../state.js';
import { followHolder, handleEndedKeys } from '../followers.js';
import { setRequest } from '../request-table.js';
import type { RequestState } from '../requests-state.js';

const NOW = new Date(1_000_000);
const KEY_HASH = 'hash';

const REQUEST: RequestState = {
  description: {
    requestId: 'repeat',
    service: 'orders',
    caller: 'shop',
    workKind: 'POST orders/order',
    repeatable: false,
    needs: [],
    deadlineMilliseconds: 5_000,
    hint: null,
    keyHash: KEY_HASH,
    fingerprint: 'same work',
    keyMadeAt: null,
  },
  pool: 'orders',
  longWorkThresholdMilliseconds: 1_000,
  silenceTimeoutMilliseconds: 1_000,
  arrivedAt: NOW,
  deadlineAt: new Date(NOW.getTime() + 5_000),
  phase: { kind: 'claiming', giveUpAt: NOW },
  slotRequests: 0,
  attempts: 0,
  avoidHostId: null,
  mayHaveRun: false,
};

/** A claim of this gateway that was read back after its request had been refused as not run. */
const ABANDONED_CLAIM: KeyState = {
  fingerprint: 'same work',
  requestId: 'refused',
  processId: 'gateway-1',
  incarnation: 'first',
  claimedAt: NOW,
  madeAt: null,
  outcome: null,
};

function stateWith(holder: KeyState): State {
  const identity = { processId: 'gateway-1', incarnation: 'first' } as State['identity'];
  const state = initialState(identity, DEFAULT_PARAMETERS, emptyFoldState(), NOW);
  const untimedKeys = state.fold.keys.untimedKeys.set(KEY_HASH, holder);
  const held: State = { ...state, fold: { ...state.fold, keys: { ...state.fold.keys, untimedKeys } } };
  return setRequest(held, REQUEST);
}

/** Discards messages to peers. */
function deliver(state: State): Step<State> {
  return (function* unchanged() {
    yield* [];
    return state;
  })();
}

describe('a repeated request whose key is held by a request refused as not run', ({ it }) => {
  it('waits for the record of the refusal, then claims the key', (t) => {
    const waiting = runSteps(followHolder(stateWith(ABANDONED_CLAIM), REQUEST, ABANDONED_CLAIM, deliver));
    t.deepEqual(waiting.effects, []);
    t.is(waiting.state.requests.byId.get('repeat')?.phase.kind, 'following');
    const { keys } = foldKeysRecord(waiting.state.fold.keys, {
      offset: 0,
      record: {
        id: 'end',
        issuedAt: NOW,
        body: {
          kind: 'keys-ended',
          ends: [{ keyHash: KEY_HASH, requestId: 'refused', outcome: 'not-run' }],
        },
      } as unknown as Parameters<typeof foldKeysRecord>[1]['record'],
    });
    const ended: State = { ...waiting.state, fold: { ...waiting.state.fold, keys } };
    const claiming = runSteps(handleEndedKeys(ended, [{ keyHash: KEY_HASH, outcome: 'not-run' }], deliver));
    t.is(claiming.state.requests.byId.get('repeat')?.phase.kind, 'claiming');
  });

  it('is refused at once if the recorded outcome is unknown', (t) => {
    const holder: KeyState = { ...ABANDONED_CLAIM, outcome: 'unknown' };
    const { state } = runSteps(followHolder(stateWith(holder), REQUEST, holder, deliver));
    t.is(state.requests.byId.get('repeat'), undefined);
  });
});
