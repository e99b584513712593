/** Callers' requests as the core receives them: all parts except the body. */

/** Expected run time of work: `unproven` until work of the same kind has been observed. */
export type WorkClass = 'short' | 'long' | 'unproven';

/** A capability that a target must have. */
export type CapabilityNeed =
  | { readonly kind: 'feature'; readonly name: string; readonly minimumVersion: number }
  | { readonly kind: 'quantity'; readonly name: 'cores' | 'memory-gb' | 'gpu'; readonly minimum: number };

/** Whether a request ran: `no` means it did not and will not. */
export type RanVerdict = 'no' | 'unknown' | 'yes';

/** A received request. */
export interface RequestDescription {
  readonly requestId: string;
  readonly service: string;
  readonly caller: string;
  /** Method and first path segment. Requests of the same kind are expected to have similar run times. */
  readonly workKind: string;
  readonly repeatable: boolean;
  readonly needs: readonly CapabilityNeed[];
  /** How long the caller waits; null to use the default of the service. */
  readonly deadlineMilliseconds: number | null;
  readonly hint: 'short' | 'long' | null;
  /** Hash of service, caller and key; null without a key. */
  readonly keyHash: string | null;
  /** Hash of method, path and body; empty without a key. */
  readonly fingerprint: string;
  /** Creation time that the key itself contains; null for a key without a time. */
  readonly keyMadeAt: Date | null;
}

/** Host and address to which an attempt is sent. */
export interface TargetAddress {
  readonly hostId: string;
  readonly address: string;
}
