/** Types and helpers for the result of folding one record. */
import { failureOf, type Failure, type ResultName } from '@baobabdeck/errors';
import type { LogRecord, RecordBody } from '@baobabdeck/types';
import type { FleetState } from './fold-state.js';

/** A record of one kind with its offset in the log. */
export interface LoggedRecord<K extends RecordBody['kind']> {
  readonly offset: number;
  readonly record: LogRecord;
  readonly body: Extract<RecordBody, { readonly kind: K }>;
}

/** Result of folding a command: the fleet after it, or the reason for its rejection. */
export type FoldResult =
  | { readonly accepted: true; readonly fleet: FleetState; readonly changedHostIds: readonly string[] }
  | { readonly accepted: false; readonly failure: Failure };

/** Accepts a command. `changedHostIds` lists the hosts whose pool, duty or presence changed. */
export function accept(fleet: FleetState, changedHostIds: readonly string[] = []): FoldResult {
  return { accepted: true, fleet, changedHostIds };
}

/** Rejects a command, which leaves the fleet unchanged. */
export function reject(kind: ResultName, detail: string): FoldResult {
  return { accepted: false, failure: failureOf(kind, detail) };
}
