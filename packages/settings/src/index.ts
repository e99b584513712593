/** Parses and validates the settings of the fleet and of a process. */
import type { Configuration } from '@baobabdeck/types';
import { checkReferences } from './check-references.js';
import { checkSchema } from './check-schema.js';
import type { SettingsFault } from './fault.js';
import { findOverlayFaults, mergeOverlay } from './merge-overlay.js';
import { parseDocument, type SettingsResult, type SettingsText } from './parse-document.js';
import { fleetSchema, processSchema, type ProcessSettings } from './schema.js';
import { toConfiguration } from './to-configuration.js';

export { describeFault, faultOf, type SettingsFault } from './fault.js';
export type { SettingsResult, SettingsText } from './parse-document.js';
export type { ProcessSettings } from './schema.js';

/** Validates a base file with an optional overlay. Returns the configuration, or every fault found. */
export function checkFleetSettings(
  base: SettingsText,
  overlay: SettingsText | null,
): SettingsResult<Configuration> {
  const parsedBase = parseDocument(base);
  const parsedOverlay = overlay === null ? null : parseDocument(overlay);
  const syntaxFaults: readonly SettingsFault[] = [
    ...(parsedBase.ok ? [] : parsedBase.faults),
    ...(parsedOverlay === null || parsedOverlay.ok ? [] : parsedOverlay.faults),
  ];
  if (!parsedBase.ok || (parsedOverlay !== null && !parsedOverlay.ok)) {
    return { ok: false, faults: syntaxFaults };
  }
  if (parsedOverlay === null || overlay === null) return checkMerged(parsedBase.value, base.file, []);
  const overlayFaults = findOverlayFaults(parsedBase.value, parsedOverlay.value, overlay.file);
  const merged = mergeOverlay(parsedBase.value, parsedOverlay.value);
  return checkMerged(merged, `${base.file} + ${overlay.file}`, overlayFaults);
}

function checkMerged(
  data: unknown,
  file: string,
  earlier: readonly SettingsFault[],
): SettingsResult<Configuration> {
  const checked = checkSchema(fleetSchema, data, file);
  if (!checked.ok) return { ok: false, faults: [...earlier, ...checked.faults] };
  const faults = [...earlier, ...checkReferences(checked.value, file)];
  return faults.length > 0 ? { ok: false, faults } : { ok: true, value: toConfiguration(checked.value) };
}

const ENVIRONMENT_PREFIX = 'BAOBABDECK_';

function readEnvironmentValue(text: string): unknown {
  return /^\d+$/.test(text) ? Number(text) : text;
}

function readEnvironment(environment: Readonly<Record<string, string | undefined>>): Record<string, unknown> {
  const entries = Object.entries(environment).flatMap(([key, value]) => {
    if (!key.startsWith(ENVIRONMENT_PREFIX) || value === undefined) return [];
    const setting = key.slice(ENVIRONMENT_PREFIX.length).toLowerCase().replaceAll('_', '-');
    return [[setting, readEnvironmentValue(value)] as const];
  });
  return Object.fromEntries(entries);
}

/** Validates the settings of a process. Environment variables such as `BAOBABDECK_PEER_PORT` override the keys of the file. */
export function checkProcessSettings(
  file: SettingsText | null,
  environment: Readonly<Record<string, string | undefined>>,
): SettingsResult<ProcessSettings> {
  const parsed: SettingsResult<Readonly<Record<string, unknown>>> =
    file === null ? { ok: true, value: {} } : parseDocument(file);
  if (!parsed.ok) return parsed;
  const data = { ...parsed.value, ...readEnvironment(environment) };
  return checkSchema(processSchema, data, file?.file ?? 'environment');
}
