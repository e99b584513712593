/** Reads base and overlay files for the configuration commands. */
import { readFile } from 'node:fs/promises';
import { checkFleetSettings, faultOf, type SettingsResult, type SettingsText } from '@baobabdeck/settings';
import type { Configuration } from '@baobabdeck/types';

async function readText(file: string): Promise<SettingsResult<SettingsText>> {
  try {
    return { ok: true, value: { file, text: await readFile(file, 'utf8') } };
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return {
      ok: false,
      faults: [faultOf('fileUnreadable', file, 'file', detail, 'Name a file that can be read')],
    };
  }
}

/** The configuration of the files, or every fault in them. */
export async function readConfiguration(
  baseFile: string,
  overlayFile: string | undefined,
): Promise<SettingsResult<Configuration>> {
  const base = await readText(baseFile);
  const overlay = overlayFile === undefined ? null : await readText(overlayFile);
  if (!base.ok) return base;
  if (overlay !== null && !overlay.ok) return overlay;
  return checkFleetSettings(base.value, overlay?.value ?? null);
}
