/** Appends decisions to the log, with a delay before the same decision is retried. */
import { addMilliseconds, type RecordBody } from '@baobabdeck/types';
import type { Step } from '../effect.js';
import { appendFleetRecord } from '../membership/index.js';
import type { State } from '../state.js';

/** Time after which a decision that had no effect may be appended again. */
const PROPOSAL_RETRY_MILLISECONDS = 3_000;

/** Appends a record unless one with the same `subject` was appended within the retry interval. */
export function* propose(state: State, subject: string, body: RecordBody): Step<State> {
  const notBefore = state.control.proposed.get(subject);
  if (notBefore !== undefined && notBefore > state.now) return state;
  const sent = yield* appendFleetRecord(state, body);
  const proposed = sent.control.proposed.set(
    subject,
    addMilliseconds(state.now, PROPOSAL_RETRY_MILLISECONDS),
  );
  return { ...sent, control: { ...sent.control, proposed } };
}

/** Removes proposals whose retry interval is over, so that the table stays small. */
export function dropExpiredProposals(state: State): State {
  const proposed = state.control.proposed.filter((notBefore) => notBefore > state.now);
  return proposed.size === state.control.proposed.size
    ? state
    : { ...state, control: { ...state.control, proposed } };
}
