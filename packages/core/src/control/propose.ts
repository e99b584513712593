/** Sends a decision to the log, and not again before it had time to be read back. */
import { addMilliseconds, type RecordBody } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { appendFleetRecord } from '../membership/index.js';
import type { State } from '../state.js';

/** Time after which a decision that had no effect is sent again. */
const PROPOSE_AGAIN_MILLISECONDS = 3_000;

/** Yields a record unless the same decision is on its way. `subject` names what is decided. */
export function* propose(state: State, subject: string, body: RecordBody): Step<State> {
  const notBefore = state.control.proposed.get(subject);
  if (notBefore !== undefined && notBefore > state.now) return state;
  const sent = yield* appendFleetRecord(state, body);
  const proposed = sent.control.proposed.set(subject, addMilliseconds(state.now, PROPOSE_AGAIN_MILLISECONDS));
  return { ...sent, control: { ...sent.control, proposed } };
}

/** Drops decisions whose time is over, so that the table stays small. */
export function forgetProposals(state: State): State {
  const proposed = state.control.proposed.filter((notBefore) => notBefore > state.now);
  return proposed.size === state.control.proposed.size
    ? state
    : { ...state, control: { ...state.control, proposed } };
}
