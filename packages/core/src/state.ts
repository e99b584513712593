/** State of a process. */
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

/** State of a process. Only `fold` is equal in all processes, at equal offsets. */
export interface State {
  readonly identity: ProcessIdentity;
  readonly parameters: Parameters;
  /** Time of the newest event. */
  readonly now: Date;
  /** Number of records and ids that this process has created. */
  readonly sequence: number;
  readonly fold: FoldState;
  /** The newest records of each stream, kept for peers that are behind. */
  readonly recentRecords: PersistentMap<StreamName, PersistentList<StoredRecord>>;
  readonly membership: MembershipState;
  readonly requests: RequestsState;
  /** Pools whose slots this process grants. */
  readonly dispatch: PersistentMap<string, PoolDispatch>;
  /** The dispatcher of each pool; derived from the fold. */
  readonly dispatchers: PersistentMap<string, string>;
  /** Slots whose use is unknown, by pool; to be reported to the pool's next dispatcher. */
  readonly unsettledSlots: PersistentMap<string, readonly UnsettledRecord[]>;
  readonly control: ControlState;
  readonly stopping: boolean;
}

/** Returns the state of a process that has just started. `fold` comes from a snapshot or is empty. */
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

/** Creates a record of this process with a unique id. */
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
