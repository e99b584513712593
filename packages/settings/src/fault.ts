/** Faults of a settings file, each with its place and a hint. */
import { RESULT_CODES, type ResultName } from '@baobabdeck/errors';

/** One fault that an operator has to mend. */
export interface SettingsFault {
  readonly kind: ResultName;
  readonly code: number;
  readonly file: string;
  /** Key path, as `pools.quotes.slots-per-host`, or line and column for a syntax fault. */
  readonly place: string;
  readonly detail: string;
  readonly hint: string;
}

/** Builds a fault of one kind. */
export function faultOf(
  kind: ResultName,
  file: string,
  place: string,
  detail: string,
  hint: string,
): SettingsFault {
  return { kind, code: RESULT_CODES[kind].code, file, place, detail, hint };
}

/** The fault as one line for a person. */
export function describeFault(fault: SettingsFault): string {
  return `${fault.file}: ${fault.place}: [${fault.code}] ${fault.detail}. ${fault.hint}.`;
}
