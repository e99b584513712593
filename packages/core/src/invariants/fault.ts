/** Invariants and their violations. */
import type { Step } from '../effect.js';

/** Names of the invariants; docs/INVARIANTS.md lists where each is checked. */
export type InvariantName =
  | 'pool-within-budget'
  | 'host-in-one-pool'
  | 'host-index-agrees'
  | 'slots-within-limit'
  | 'slot-index-agrees'
  | 'non-repeatable-at-most-once'
  | 'not-run-is-true'
  | 'leaving-target-gets-no-work'
  | 'configuration-never-reverts'
  | 'offsets-never-step-back';

/** Violation of an invariant. */
export interface InvariantFault {
  readonly invariant: InvariantName;
  readonly detail: string;
}

/** Yields a logged decision for each violation. */
export function* reportFaults(faults: readonly InvariantFault[]): Step<void> {
  for (const { invariant, detail } of faults) {
    yield { kind: 'log', decision: 'invariantViolated', fields: { invariant, detail } };
  }
}
