/** One row of the table of result codes. */
export interface ResultCodeEntry {
  readonly code: number;
  /** HTTP status of an answer with this code. */
  readonly status: number;
  readonly title: string;
}
