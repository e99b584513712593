/** Runs a reducer written as a generator that yields its effects and returns its new state. */

/** State and effects that a reducer generator produced. */
export interface StepsResult<Effect, State> {
  readonly state: State;
  /** In the order in which they were yielded. */
  readonly effects: readonly Effect[];
}

/** Runs a generator to its end. If it throws, the error propagates and its effects are lost. */
export function runSteps<Effect, State>(steps: Generator<Effect, State, void>): StepsResult<Effect, State> {
  const effects: Effect[] = [];
  let result = steps.next();
  while (!result.done) {
    effects.push(result.value);
    result = steps.next();
  }
  return { state: result.value, effects };
}
