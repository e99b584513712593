/** Number, HTTP status and title of a result code. */
export interface ResultCodeEntry {
  readonly code: number;
  /** HTTP status of answers with this code. */
  readonly status: number;
  readonly title: string;
}
