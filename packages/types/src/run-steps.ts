/** Runs a reducer's steps, whose effects are yielded and whose state is returned. */

/** What a run of steps came to. */
export interface StepsResult<Effect, State> {
  readonly state: State;
  /** In the order in which they were yielded. */
  readonly effects: readonly Effect[];
}

/** Runs steps to their end. Throws what a step throws: none of its effects is known then. */
export function runSteps<Effect, State>(steps: Generator<Effect, State, void>): StepsResult<Effect, State> {
  const effects: Effect[] = [];
  let result = steps.next();
  while (!result.done) {
    effects.push(result.value);
    result = steps.next();
  }
  return { state: result.value, effects };
}
