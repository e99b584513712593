/** Runs a call whose errors are turned into an outcome. */

/** Returns the result of a call, or the outcome of `onError` if it throws or rejects. */
export async function guardCall<T>(call: () => Promise<T>, onError: (error: unknown) => T): Promise<T> {
  try {
    return await call();
  } catch (error) {
    return onError(error);
  }
}
