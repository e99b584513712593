/** Faults in settings, each with its location and a hint for the operator. */
import { RESULT_CODES, type ResultName } from '@baobabdeck/errors';

/** A fault that an operator has to correct. */
export interface SettingsFault {
  readonly kind: ResultName;
  readonly code: number;
  readonly file: string;
  /** Key path, such as `pools.quotes.slots-per-host`, or line and column of a syntax error. */
  readonly place: string;
  readonly detail: string;
  readonly hint: string;
}

/** Creates a fault; its code is that of the result code `kind`. */
export function faultOf(
  kind: ResultName,
  file: string,
  place: string,
  detail: string,
  hint: string,
): SettingsFault {
  return { kind, code: RESULT_CODES[kind].code, file, place, detail, hint };
}

/** Formats a fault as one line for an operator. */
export function describeFault(fault: SettingsFault): string {
  return `${fault.file}: ${fault.place}: [${fault.code}] ${fault.detail}. ${fault.hint}.`;
}
