/** Callers' requests as the core sees them: everything but the body. */

/** How long a piece of work runs: `unproven` until one of its kind was seen. */
export type WorkClass = 'short' | 'long' | 'unproven';

/** One capability that a target must have. */
export type CapabilityNeed =
  | { readonly kind: 'feature'; readonly name: string; readonly minimumVersion: number }
  | { readonly kind: 'quantity'; readonly name: 'cores' | 'memory-gb' | 'gpu'; readonly minimum: number };

/** Whether a request ran: `no` means it did not and will not. */
export type RanVerdict = 'no' | 'unknown' | 'yes';

/** A request as it came in. */
export interface RequestDescription {
  readonly requestId: string;
  readonly service: string;
  readonly caller: string;
  /** Method and first path segment: work of one kind is expected to run alike. */
  readonly workKind: string;
  readonly repeatable: boolean;
  readonly needs: readonly CapabilityNeed[];
  /** How long the caller waits; null for the service's setting. */
  readonly deadlineMilliseconds: number | null;
  readonly hint: 'short' | 'long' | null;
  /** Hash of service, caller and key; null without a key. */
  readonly keyHash: string | null;
  /** Hash of method, path and body; empty without a key. */
  readonly fingerprint: string;
  /** When the key says that it was made; null for a key that carries no time. */
  readonly keyMadeAt: Date | null;
}

/** The target that an attempt goes to. */
export interface TargetAddress {
  readonly hostId: string;
  readonly address: string;
}
