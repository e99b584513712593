/** The outcome of folding one record. */
import { failureOf, type Failure, type ResultName } from '@baobabdeck/errors';
import type { LogRecord, RecordBody } from '@baobabdeck/types';
import type { FleetState } from './fold-state.js';

/** A record of one kind at its place in the log. */
export interface PlacedRecord<K extends RecordBody['kind']> {
  readonly offset: number;
  readonly record: LogRecord;
  readonly body: Extract<RecordBody, { readonly kind: K }>;
}

/** The fleet after a command, or why the command has no effect. */
export type FoldResult =
  | { readonly accepted: true; readonly fleet: FleetState; readonly changedHostIds: readonly string[] }
  | { readonly accepted: false; readonly failure: Failure };

/** Accepts a command. `changedHostIds` names the hosts whose pool, duty or presence changed. */
export function accept(fleet: FleetState, changedHostIds: readonly string[] = []): FoldResult {
  return { accepted: true, fleet, changedHostIds };
}

/** Rejects a command: the fleet stays as it was. */
export function reject(kind: ResultName, detail: string): FoldResult {
  return { accepted: false, failure: failureOf(kind, detail) };
}
