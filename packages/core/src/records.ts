/** Folds records of the log in order, each once, and updates the derived state. */
import type { StoredRecord } from '@baobabdeck/types';
import { deliver } from './deliver.js';
import { refreshDispatchers, refreshHosts, refreshPools } from './dispatch/update-from-fold.js';
import type { Step } from './effect.js';
import type { EventOf } from './event.js';
import { foldFleetRecord, type FleetStep } from './fold/index.js';
import { foldKeysRecord } from './fold/keys.js';
import { findFoldFaults } from './invariants/check-state.js';
import { reportFaults } from './invariants/fault.js';
import { recordContact } from './membership/contact.js';
import { expectMembers } from './membership/index.js';
import { PersistentList } from './persistent.js';
import { handleEndedKeys } from './requests/followers.js';
import { handleClaimVerdicts } from './requests/arrival.js';
import { removeInFlightRecord } from './requests/keys.js';
import type { State } from './state.js';

/** Number of recent records kept for peers that are behind. */
const RECENT_RECORDS = 500;

/** Returns the processes whose work may continue unreported after a record: removed by another process, or restarted. */
function selectLostProcessIds(before: State, { record }: StoredRecord): ReadonlySet<string> {
  if (record === null) return new Set();
  if (record.body.kind === 'process-removed' && record.issuer !== record.body.processId) {
    return new Set([record.body.processId]);
  }
  if (record.body.kind !== 'process-registered') return new Set();
  const { processId, incarnation } = record.body.identity;
  const known = before.fold.fleet.members.get(processId);
  return known !== undefined && known.identity.incarnation !== incarnation ? new Set([processId]) : new Set();
}

function* logFoldOutcome(before: State, step: FleetStep, stored: StoredRecord): Step<void> {
  const { version, offset } = step.fleet.configuration;
  if (version !== before.fold.fleet.configuration.version) {
    yield { kind: 'log', decision: 'configurationInForce', fields: { version, offset } };
  }
  if (step.failure !== null && stored.record !== null) {
    const fields = {
      id: stored.record.id,
      issuer: stored.record.issuer,
      code: step.failure.code,
      detail: step.failure.detail,
    };
    yield { kind: 'log', decision: 'commandRejected', fields };
  }
  if (stored.record === null) {
    yield { kind: 'log', decision: 'recordUnreadable', fields: { offset: stored.offset } };
  }
  const body = stored.record?.body;
  if (body?.kind === 'host-drain-requested' && step.verdict?.accepted) {
    yield {
      kind: 'log',
      decision: 'drainPermitted',
      fields: { host: body.hostId, purpose: body.purpose, offset: stored.offset },
    };
  }
}

function* applyFleetStep(before: State, state: State, step: FleetStep, stored: StoredRecord): Step<State> {
  const earlier = before.fold.fleet;
  const { fleet } = state.fold;
  const viewChanged = fleet.gatewayViewOffset !== earlier.gatewayViewOffset;
  const poolsChanged = fleet.configuration.pools !== earlier.configuration.pools;
  const expecting = fleet.members === earlier.members ? state : expectMembers(state);
  const viewed =
    viewChanged || poolsChanged
      ? yield* refreshDispatchers(expecting, selectLostProcessIds(before, stored))
      : expecting;
  return poolsChanged ? refreshPools(viewed) : refreshHosts(viewed, step.changedHostIds);
}

function* foldFleet(state: State, stored: StoredRecord): Step<State> {
  const step = foldFleetRecord(state.fold.fleet, stored);
  yield* logFoldOutcome(state, step, stored);
  yield* reportFaults(findFoldFaults(state.fold.fleet, step.fleet));
  const folded: State = { ...state, fold: { ...state.fold, fleet: step.fleet } };
  return yield* applyFleetStep(state, folded, step, stored);
}

function* foldKeys(state: State, stored: StoredRecord): Step<State> {
  const step = foldKeysRecord(state.fold.keys, stored);
  const folded = removeInFlightRecord({ ...state, fold: { ...state.fold, keys: step.keys } }, stored);
  const evaluated = yield* handleClaimVerdicts(folded, step.verdicts, deliver);
  return yield* handleEndedKeys(evaluated, step.ended, deliver);
}

function keepRecentRecord(state: State, stored: StoredRecord): State {
  const recent = (state.recentRecords.get('fleet') ?? PersistentList<StoredRecord>()).push(stored);
  const kept = recent.size > RECENT_RECORDS ? recent.shift() : recent;
  return { ...state, recentRecords: state.recentRecords.set('fleet', kept) };
}

/** Folds records. Records folded before are skipped; a gap is logged and no record after it is folded. */
export function* handleRecordsRead(state: State, event: EventOf<'records-read'>): Step<State> {
  let current = state;
  for (const stored of event.records) {
    const { nextOffset } = current.fold[event.stream];
    if (stored.offset < nextOffset) continue;
    if (stored.offset > nextOffset) {
      yield {
        kind: 'log',
        decision: 'recordGap',
        fields: { stream: event.stream, expected: nextOffset, found: stored.offset },
      };
      return current;
    }
    current =
      event.stream === 'fleet'
        ? yield* foldFleet(keepRecentRecord(current, stored), stored)
        : yield* foldKeys(current, stored);
  }
  const proof = event.stream === 'fleet' ? event.readStartedAt : null;
  return proof === null ? current : recordContact(current, proof);
}
