/** Collects the decisions that processes log, and the broken invariants that they report of themselves. */
import type { Effect } from '@baobabdeck/core';
import type { Schedule } from './schedule.js';
import type { VirtualProcess } from './virtual-process.js';

/** A broken invariant that a process reported of itself. */
export interface Violation {
  readonly processId: string;
  readonly at: number;
  readonly invariant: string;
  readonly detail: string;
}

/** The decisions of all processes. */
export interface DecisionLog {
  readonly record: (process: VirtualProcess, effect: Extract<Effect, { readonly kind: 'log' }>) => void;
  readonly violations: readonly Violation[];
  /** How often each decision was logged, by name. */
  readonly decisions: ReadonlyMap<string, number>;
}

/** Creates a log without decisions. */
export function createDecisionLog(schedule: Schedule): DecisionLog {
  const violations: Violation[] = [];
  const decisions = new Map<string, number>();
  return {
    record: (process, { decision, fields }) => {
      decisions.set(decision, (decisions.get(decision) ?? 0) + 1);
      if (decision !== 'invariantViolated') return;
      violations.push({
        processId: process.identity.processId,
        at: schedule.now(),
        invariant: String(fields.invariant),
        detail: String(fields.detail),
      });
    },
    violations,
    decisions,
  };
}
