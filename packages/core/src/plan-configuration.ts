/** Computes the changes between the configuration in force and a desired one. */
import { SECTION_KINDS, type Configuration, type SectionChange } from '@baobabdeck/types';
import { isDeepStrictEqual } from 'node:util';
import type { ConfigurationState } from './fold/fold-state.js';

function changesOfKind(
  current: ConfigurationState,
  desired: Configuration,
  sectionKind: SectionChange['sectionKind'],
): readonly SectionChange[] {
  const before = current[sectionKind];
  const after: Readonly<Record<string, unknown>> = desired[sectionKind];
  const set = Object.entries(after)
    .filter(([name, section]) => !isDeepStrictEqual(before.get(name), section))
    .map(([name, section]) => ({ sectionKind, name, section }) as SectionChange);
  const removed = [...before.keys()]
    .filter((name) => !(name in after))
    .map((name) => ({ sectionKind, name, section: null }));
  return [...set, ...removed];
}

/** Returns the sections to set or remove; empty if the desired configuration is already in force. */
export function planConfigurationChanges(
  current: ConfigurationState,
  desired: Configuration,
): readonly SectionChange[] {
  return SECTION_KINDS.flatMap((sectionKind) => changesOfKind(current, desired, sectionKind));
}
