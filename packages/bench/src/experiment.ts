/** What an experiment is and what it gives. */

/** One figure of one policy. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** What the value is compared with; null where it only informs. */
  readonly bound: number | null;
}

/** A row of the table: one policy on one user's trace. */
export interface PolicyResult {
  readonly user: string;
  readonly policy: string;
  readonly figures: readonly Figure[];
}

/** What the command line asks of an experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Policies to run; all of them when empty. */
  readonly policies: readonly string[];
}

/** An experiment. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  readonly policies: readonly string[];
  readonly run: (options: ExperimentOptions) => Promise<readonly PolicyResult[]>;
}

/** The policies of an experiment that are asked for. */
export function selectPolicies({ policies }: ExperimentOptions, known: readonly string[]): readonly string[] {
  return policies.length === 0 ? known : known.filter((policy) => policies.includes(policy));
}

/** A figure, rounded as far as it means something. */
export function figure(name: string, value: number, unit: string, bound: number | null = null): Figure {
  const SCALE = 1_000;
  return {
    name,
    value: Math.round(value * SCALE) / SCALE,
    unit,
    bound: bound === null ? null : Math.round(bound * SCALE) / SCALE,
  };
}
