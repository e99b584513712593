/** Merges a site's overlay into the base file. */
import { faultOf, type SettingsFault } from './fault.js';
import type { TomlTable } from './parse-document.js';

/** Section kinds to which an overlay may add sections; sections of other kinds must exist in the base. */
const ADDABLE_KINDS: ReadonlySet<string> = new Set(['data-centres', 'racks']);

function isTable(value: unknown): value is TomlTable {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Date);
}

function mergeTables(base: TomlTable, overlay: TomlTable): TomlTable {
  const merged: Record<string, unknown> = { ...base };
  Object.entries(overlay).forEach(([key, value]) => {
    const baseValue = merged[key];
    merged[key] = isTable(baseValue) && isTable(value) ? mergeTables(baseValue, value) : value;
  });
  return merged;
}

/** Returns the base with values of the overlay replacing or extending it, table by table. */
export function mergeOverlay(base: TomlTable, overlay: TomlTable): TomlTable {
  return mergeTables(base, overlay);
}

/** Returns a fault for each section of the overlay that the base lacks and the overlay may not add. */
export function findOverlayFaults(
  base: TomlTable,
  overlay: TomlTable,
  file: string,
): readonly SettingsFault[] {
  return Object.entries(overlay).flatMap(([kind, sections]) => {
    if (ADDABLE_KINDS.has(kind) || !isTable(sections)) return [];
    const baseSections = base[kind];
    const known = isTable(baseSections) ? baseSections : {};
    return Object.keys(sections)
      .filter((section) => !(section in known))
      .map((section) =>
        faultOf(
          'overlayWithoutBase',
          file,
          `${kind}.${section}`,
          `The overlay changes '${section}', which the base does not have`,
          'Add it to the base file, or correct the name',
        ),
      );
  });
}
