/** The changes that lead from the configuration in force to another. */
import { SECTION_KINDS, type Configuration, type SectionChange } from '@baobabdeck/types';
import { isDeepStrictEqual } from 'node:util';
import type { ConfigurationState } from './fold/fold-state.js';

function changesOfKind(
  current: ConfigurationState,
  wanted: Configuration,
  sectionKind: SectionChange['sectionKind'],
): readonly SectionChange[] {
  const before = current[sectionKind];
  const after: Readonly<Record<string, unknown>> = wanted[sectionKind];
  const set = Object.entries(after)
    .filter(([name, section]) => !isDeepStrictEqual(before.get(name), section))
    .map(([name, section]) => ({ sectionKind, name, section }) as SectionChange);
  const removed = [...before.keys()]
    .filter((name) => !(name in after))
    .map((name) => ({ sectionKind, name, section: null }));
  return [...set, ...removed];
}

/** The sections to set or remove; empty when the configuration in force is the wanted one. */
export function planConfigurationChanges(
  current: ConfigurationState,
  wanted: Configuration,
): readonly SectionChange[] {
  return SECTION_KINDS.flatMap((sectionKind) => changesOfKind(current, wanted, sectionKind));
}
