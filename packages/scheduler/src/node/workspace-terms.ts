/** Passes what schedulers need to know of the workspaces of a configuration, without the digests of their keys. */
import type { WorkspaceTerms } from '@baobabdeck/scheduling';
import type { Workspace } from '../ports/index.js';

/** Returns the terms of a workspace. */
export function termsOf({ name, weight, cap }: Workspace): WorkspaceTerms {
  return { name, weight, cap };
}
