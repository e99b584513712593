/** Validates parsed settings against a schema and reports each fault with its key path. */
import type { z } from 'zod';
import { faultOf, type SettingsFault } from './fault.js';
import type { SettingsResult } from './parse-document.js';

function readPath(data: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined,
    data,
  );
}

function describeFound(value: unknown): string {
  if (value === undefined) return 'found nothing';
  const text = JSON.stringify(value) ?? String(value);
  const LONGEST_SHOWN = 60;
  return `found ${text.length > LONGEST_SHOWN ? `${text.slice(0, LONGEST_SHOWN)}…` : text}`;
}

/** Settings whose value may be a secret by mistake, such as a key in place of its digest. */
const HIDDEN_SETTINGS: ReadonlySet<PropertyKey> = new Set(['key-digests']);

function describeFoundAt(data: unknown, path: readonly PropertyKey[]): string {
  return path.some((key) => HIDDEN_SETTINGS.has(key))
    ? 'found another value, which is not shown'
    : describeFound(readPath(data, path));
}

function faultsOfIssue(issue: z.core.$ZodIssue, data: unknown, file: string): readonly SettingsFault[] {
  const place = issue.path.map(String).join('.') || '(top level)';
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      faultOf(
        'unknownSetting',
        file,
        issue.path.length > 0 ? `${place}.${key}` : key,
        `The key '${key}' is not known here`,
        'Remove it or correct its spelling; docs/SETTINGS.md lists the keys',
      ),
    );
  }
  const detail = `${issue.message}, ${describeFoundAt(data, issue.path)}`;
  return [
    faultOf('invalidSetting', file, place, detail, 'docs/SETTINGS.md gives the unit and range of each key'),
  ];
}

/** Returns the data with the defaults of the schema applied, or every fault. */
export function checkSchema<T extends z.ZodType>(
  schema: T,
  data: unknown,
  file: string,
): SettingsResult<z.infer<T>> {
  const parsed = schema.safeParse(data);
  if (parsed.success) return { ok: true, value: parsed.data };
  return { ok: false, faults: parsed.error.issues.flatMap((issue) => faultsOfIssue(issue, data, file)) };
}
