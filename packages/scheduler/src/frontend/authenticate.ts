/** Decides from the `Authorization` headers of a call to which workspace its caller belongs. */
import type { Authentication, Queue, QueueConfiguration } from '../ports/index.js';
import { digestKey } from './key-digest.js';

/** `Bearer KEY`; the scheme is case-insensitive (RFC 9110), and a key is visible ASCII. */
const BEARER_HEADER = /^bearer +([\x21-\x7e]+)$/i;

/** Index of each configuration version, built at its first call that needs a key. */
const indexes = new WeakMap<QueueConfiguration, ReadonlyMap<string, string>>();

/** Maps the digest of each key to the name of its workspace. A key of two workspaces belongs to the first. */
function indexKeys({ workspaces }: QueueConfiguration): ReadonlyMap<string, string> {
  const workspaceOfDigest = new Map<string, string>();
  for (const { name, keyDigests } of workspaces) {
    for (const digest of keyDigests) {
      if (!workspaceOfDigest.has(digest)) workspaceOfDigest.set(digest, name);
    }
  }
  return workspaceOfDigest;
}

function workspaceOfKey(configuration: QueueConfiguration, key: string): string | null {
  const index = indexes.get(configuration) ?? indexKeys(configuration);
  indexes.set(configuration, index);
  return index.get(digestKey(key)) ?? null;
}

/** Whether a call to a queue needs a key. */
export function needsKey({ workspaces }: QueueConfiguration, { isPublic }: Queue): boolean {
  return !isPublic && workspaces.length > 0;
}

/**
 * Identifies the caller of a queue. `authorizations` are the values of all `Authorization` headers of the call. The
 * workspace is null if the queue is public or the configuration has no workspaces.
 */
export function authenticate(
  configuration: QueueConfiguration,
  queue: Queue,
  authorizations: readonly string[],
): Authentication {
  if (!needsKey(configuration, queue)) return { kind: 'authenticated', workspace: null };
  const [authorization, ...others] = authorizations;
  if (authorization === undefined) return { kind: 'unauthenticated', reason: 'no-header' };
  if (others.length > 0) return { kind: 'unauthenticated', reason: 'several-headers' };
  const key = BEARER_HEADER.exec(authorization)?.[1];
  if (key === undefined) return { kind: 'unauthenticated', reason: 'malformed-header' };
  const workspace = workspaceOfKey(configuration, key);
  return workspace === null
    ? { kind: 'unauthenticated', reason: 'unknown-key' }
    : { kind: 'authenticated', workspace };
}
