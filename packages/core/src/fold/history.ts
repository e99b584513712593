/** Keeps the newest decisions on each subject for the explanations shown to operators. */
import type { LogRecord } from '@baobabdeck/types';
import { PersistentList } from '../persistent.js';
import type { FleetState, HistoryEntry } from './fold-state.js';

/** Number of decisions kept for each subject. */
const HISTORY_LENGTH = 20;

/** Kind of subject that a decision is about. */
export type SubjectKind = 'host' | 'pool' | 'wave' | 'job' | 'process' | 'configuration';

/** Returns the key of a subject in the history. */
export function subjectKey(kind: SubjectKind, name: string): string {
  return `${kind}/${name}`;
}

/** Returns the fleet with a decision appended to a subject's history; the oldest entries are dropped. */
export function recordDecision(
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
