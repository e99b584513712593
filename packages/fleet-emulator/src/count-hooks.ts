/** Hooks for the loading of modules: the processes' code and its collections count their work. */
import { readFile } from 'node:fs/promises';
import type { LoadHook } from 'node:module';
import { fileURLToPath } from 'node:url';
import { countWork } from './count-work.js';

/** Code whose work is counted: what runs in a process, from its ports inwards. */
const COUNTED =
  /\/packages\/(?:scheduler|scheduling|types)\/dist\/|\/node_modules\/(?:immutable|sorted-btree)\//;

/** Loads a module, and lets it count if it is to. */
export const load: LoadHook = async (url, context, nextLoad) => {
  const loaded = await nextLoad(url, context);
  if (!COUNTED.test(url)) return loaded;
  const source = await readFile(fileURLToPath(url), 'utf8');
  return { ...loaded, source: countWork(source), shortCircuit: true };
};
