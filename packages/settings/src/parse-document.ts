/** Parses the text of a TOML file. */
import { parse, TomlError } from 'smol-toml';
import { faultOf, type SettingsFault } from './fault.js';

/** A table of a TOML document. */
export type TomlTable = Readonly<Record<string, unknown>>;

/** The text of a settings file, and the file name that faults report. */
export interface SettingsText {
  readonly file: string;
  readonly text: string;
}

/** A validated value, or the faults that prevented it. */
export type SettingsResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly SettingsFault[] };

/** Parses one TOML document. Returns a syntax error as a fault with line and column. */
export function parseDocument({ file, text }: SettingsText): SettingsResult<TomlTable> {
  try {
    return { ok: true, value: parse(text) };
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const place = `line ${error.line}, column ${error.column}`;
    const [reason = 'Invalid TOML'] = error.message.split('\n');
    return {
      ok: false,
      faults: [faultOf('malformedToml', file, place, reason, 'Correct the syntax at this position')],
    };
  }
}
