/** Errors as values: a union tagged by `kind`, in which each member has its numbered result code. */
import { RESULT_CODES, type ResultName } from './result-codes.js';

export { RESULT_CODES, type ResultName } from './result-codes.js';
export type { ResultCodeEntry } from './result-code-entry.js';

/** A refusal or failure. `detail` says what was expected, what was found and what to do next. */
export type Failure = {
  readonly [K in ResultName]: {
    readonly kind: K;
    readonly code: (typeof RESULT_CODES)[K]['code'];
    readonly detail: string;
  };
}[ResultName];

/** The value of a successful operation, or its failure. */
export type Result<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: Failure };

/** Creates a failure; its code is that of the result code `kind`. */
export function failureOf<K extends ResultName>(kind: K, detail: string): Failure {
  return { kind, code: RESULT_CODES[kind].code, detail } as Failure;
}

/** Returns a successful result with this value. */
export function succeed<T>(value: T): Result<T> {
  return { ok: true, value };
}

/** Returns a failed result with a new failure. */
export function fail<K extends ResultName>(kind: K, detail: string): Result<never> {
  return { ok: false, failure: failureOf(kind, detail) };
}
