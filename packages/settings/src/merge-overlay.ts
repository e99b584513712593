/** Lays a site's overlay over the base file. */
import { faultOf, type SettingsFault } from './fault.js';
import type { TomlTable } from './parse-document.js';

/** Kinds of section that an overlay may add to; all others must stand in the base. */
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

/** The base with the overlay's values in place of its own. */
export function mergeOverlay(base: TomlTable, overlay: TomlTable): TomlTable {
  return mergeTables(base, overlay);
}

/** Faults of an overlay that changes what the base does not have. */
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
