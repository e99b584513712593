/** Keeps the last decisions on each subject, so that they can be explained. */
import type { LogRecord } from '@baobabdeck/types';
import { PersistentList } from '../persistent.js';
import type { FleetState, HistoryEntry } from './fold-state.js';

/** Decisions kept for each subject. */
const HISTORY_LENGTH = 20;

/** What a decision was about. */
export type SubjectKind = 'host' | 'pool' | 'wave' | 'job' | 'process' | 'configuration';

/** The key of a subject in the history. */
export function subjectKey(kind: SubjectKind, name: string): string {
  return `${kind}/${name}`;
}

/** The state with one more decision on a subject. */
export function remember(
  fleet: FleetState,
  subject: string,
  record: LogRecord,
  offset: number,
  text: string,
): FleetState {
  const entry: HistoryEntry = { offset, at: record.issuedAt, issuer: record.issuer, text };
  const earlier = fleet.history.get(subject) ?? PersistentList<HistoryEntry>();
  return { ...fleet, history: fleet.history.set(subject, earlier.push(entry).takeLast(HISTORY_LENGTH)) };
}
