/** Folds records of the stream `fleet`, and accepts or rejects every command in them. */
import type { Failure } from '@baobabdeck/errors';
import type { LogRecord, RecordBody, StoredRecord } from '@baobabdeck/types';
import { foldConfigurationPublished } from './configuration.js';
import type { FleetState, Verdict } from './fold-state.js';
import { reject, type FoldResult, type LoggedRecord } from './fold-step.js';
import {
  foldHostDrainRequested,
  foldHostDrained,
  foldHostPresenceObserved,
  foldHostReturned,
} from './hosts.js';
import { foldJobCancelled, foldJobEnded, foldJobPlaced, foldJobSubmitted } from './jobs.js';
import { foldPoolControlClaimed, foldProcessRegistered, foldProcessRemoved } from './members.js';
import { foldWaveHostSkipped, foldWavePaused, foldWaveResumed, foldWaveStarted } from './waves.js';

/** Number of verdicts kept; a command decided before the oldest of them is rejected as stale. */
const VERDICTS_REMEMBERED = 10_000;

/** Result of folding one record: the fleet after it and the verdict on it. */
export interface FleetStep {
  readonly fleet: FleetState;
  readonly changedHostIds: readonly string[];
  /** Null for a record that has no effect: a repeat, a snapshot part or an unreadable record. */
  readonly verdict: Verdict | null;
  readonly failure: Failure | null;
}

type Folder<K extends RecordBody['kind']> = (fleet: FleetState, logged: LoggedRecord<K>) => FoldResult;

type FleetKind = Exclude<RecordBody['kind'], 'keys-claimed' | 'keys-ended' | 'snapshot-part'>;

const FOLDERS: { readonly [K in FleetKind]: Folder<K> } = {
  'configuration-published': foldConfigurationPublished,
  'process-registered': foldProcessRegistered,
  'process-removed': foldProcessRemoved,
  'pool-control-claimed': foldPoolControlClaimed,
  'host-presence-observed': foldHostPresenceObserved,
  'host-drain-requested': foldHostDrainRequested,
  'host-drained': foldHostDrained,
  'host-returned': foldHostReturned,
  'wave-started': foldWaveStarted,
  'wave-paused': foldWavePaused,
  'wave-resumed': foldWaveResumed,
  'wave-host-skipped': foldWaveHostSkipped,
  'job-submitted': foldJobSubmitted,
  'job-placed': foldJobPlaced,
  'job-ended': foldJobEnded,
  'job-cancelled': foldJobCancelled,
};

function isFleetKind(kind: RecordBody['kind']): kind is FleetKind {
  return kind in FOLDERS;
}

function foldCommand(fleet: FleetState, offset: number, record: LogRecord): FoldResult {
  if (record.decidedAtOffset < fleet.verdictsSinceOffset) {
    return reject(
      'staleCommand',
      `Decided at offset ${record.decidedAtOffset}; the oldest that is remembered is ${fleet.verdictsSinceOffset}`,
    );
  }
  const { body } = record;
  if (!isFleetKind(body.kind)) {
    return reject('invalidUsage', `A record of kind '${body.kind}' does not belong in this stream`);
  }
  const folder = FOLDERS[body.kind] as Folder<FleetKind>;
  return folder(fleet, { offset, record, body: body as never });
}

function recordVerdict(fleet: FleetState, id: string, verdict: Verdict): FleetState {
  const verdicts = fleet.verdicts.set(id, verdict);
  if (verdicts.size <= VERDICTS_REMEMBERED) return { ...fleet, verdicts };
  const [oldestId, oldest] = verdicts.entries().next().value ?? [id, verdict];
  return { ...fleet, verdicts: verdicts.remove(oldestId), verdictsSinceOffset: oldest.offset + 1 };
}

function withoutEffect(fleet: FleetState): FleetStep {
  return { fleet, changedHostIds: [], verdict: null, failure: null };
}

/** Folds one record. Deterministic: equal states and records give equal results in every process. */
export function foldFleetRecord(before: FleetState, { offset, record }: StoredRecord): FleetStep {
  const fleet: FleetState = { ...before, nextOffset: offset + 1 };
  if (record === null || record.body.kind === 'snapshot-part') return withoutEffect(fleet);
  if (fleet.verdicts.has(record.id)) return withoutEffect(fleet);
  const result = foldCommand(fleet, offset, record);
  if (result.accepted) {
    const verdict: Verdict = { offset, accepted: true, result: null, detail: '' };
    return {
      fleet: recordVerdict(result.fleet, record.id, verdict),
      changedHostIds: result.changedHostIds,
      verdict,
      failure: null,
    };
  }
  const { failure } = result;
  const verdict: Verdict = { offset, accepted: false, result: failure.kind, detail: failure.detail };
  return { fleet: recordVerdict(fleet, record.id, verdict), changedHostIds: [], verdict, failure };
}
