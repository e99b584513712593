/** The whole state of one process. */
import type { LogRecord, ProcessIdentity, RecordBody, StoredRecord, StreamName } from '@baobabdeck/types';
import type { ControlState } from './control/control-state.js';
import { emptyControlState } from './control/control-state.js';
import type { PoolDispatch, UnsettledRecord } from './dispatch/dispatch-state.js';
import { assignDispatchers } from './dispatch/assign-dispatchers.js';
import type { FoldState } from './fold/fold-state.js';
import type { MembershipState } from './membership/membership-state.js';
import { emptyMembershipState } from './membership/membership-state.js';
import type { Parameters } from './parameters.js';
import { PersistentList, PersistentMap } from './persistent.js';
import type { RequestsState } from './requests/requests-state.js';
import { emptyRequestsState } from './requests/requests-state.js';

/** State of one process; `fold` alone is equal in all of them. */
export interface State {
  readonly identity: ProcessIdentity;
  readonly parameters: Parameters;
  /** Time of the newest event. */
  readonly now: Date;
  /** Counts the records and ids that this process made. */
  readonly sequence: number;
  readonly fold: FoldState;
  /** The newest records of each stream, kept for peers that are behind. */
  readonly recentRecords: PersistentMap<StreamName, PersistentList<StoredRecord>>;
  readonly membership: MembershipState;
  readonly requests: RequestsState;
  /** Pools whose slots this process hands out. */
  readonly dispatch: PersistentMap<string, PoolDispatch>;
  /** The dispatcher of each pool; follows from the fold. */
  readonly dispatchers: PersistentMap<string, string>;
  /** Slots in unknown use, by pool, that the pool's next dispatcher has to be told of. */
  readonly unsettledSlots: PersistentMap<string, readonly UnsettledRecord[]>;
  readonly control: ControlState;
  readonly stopping: boolean;
}

/** The state of a process that has just started. `fold` comes from a snapshot or is empty. */
export function initialState(
  identity: ProcessIdentity,
  parameters: Parameters,
  fold: FoldState,
  now: Date,
): State {
  return {
    identity,
    parameters,
    now,
    sequence: 0,
    fold,
    recentRecords: PersistentMap(),
    membership: emptyMembershipState(),
    requests: emptyRequestsState(parameters.maximumRetryTokens),
    dispatch: PersistentMap(),
    dispatchers: assignDispatchers(fold.fleet),
    unsettledSlots: PersistentMap(),
    control: emptyControlState(),
    stopping: false,
  };
}

/** A record of this process, with an id that no other record has. */
export function makeRecord(state: State, body: RecordBody, nextOffset: number): readonly [State, LogRecord] {
  const { processId, incarnation } = state.identity;
  const record: LogRecord = {
    id: `${processId}.${incarnation}.${state.sequence}`,
    issuer: processId,
    issuedAt: state.now,
    decidedAtOffset: nextOffset,
    body,
  };
  return [{ ...state, sequence: state.sequence + 1 }, record];
}
