/** Errors as data: a union tagged by `kind`, each member with its number in the table. */
import { RESULT_CODES, type ResultName } from './result-codes.js';

export { RESULT_CODES, type ResultName } from './result-codes.js';
export type { ResultCodeEntry } from './result-code-entry.js';

/** A refusal or failure: what was expected, what was found and what to do next. */
export type Failure = {
  readonly [K in ResultName]: {
    readonly kind: K;
    readonly code: (typeof RESULT_CODES)[K]['code'];
    readonly detail: string;
  };
}[ResultName];

/** A value, or the failure that stands in its place. */
export type Result<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: Failure };

/** Builds a failure of one kind. */
export function failureOf<K extends ResultName>(kind: K, detail: string): Failure {
  return { kind, code: RESULT_CODES[kind].code, detail } as Failure;
}

/** Wraps a value as a success. */
export function succeed<T>(value: T): Result<T> {
  return { ok: true, value };
}

/** Wraps a new failure as a result. */
export function fail<K extends ResultName>(kind: K, detail: string): Result<never> {
  return { ok: false, failure: failureOf(kind, detail) };
}
