/** The platform's store, as the scheduler needs it: logs of keyed records, and groups that share them out. */

/** One log: a partition of a topic. */
export interface LogPartition {
  readonly topic: string;
  readonly partition: number;
}

/** A record with a key. The newest record of each key is kept for good; a null value drops the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | null;
}

/** A keyed record at its offset. */
export interface StoredKeyedRecord extends KeyedRecord {
  readonly offset: number;
}

/** Who appends, so that a repeated append has one effect and an older owner has none. */
export interface Producer {
  readonly name: string;
  /** Appends with a lower epoch than one seen are refused. */
  readonly epoch: number;
  /** Rises by one with each append of an epoch. */
  readonly sequence: number;
}

/** How an append ended. */
export type AppendOutcome =
  | { readonly kind: 'stored'; readonly firstOffset: number; readonly nextOffset: number }
  /** A higher epoch of this producer has been seen. */
  | { readonly kind: 'fenced' }
  /** The log does not end where the append expected it to. */
  | { readonly kind: 'moved'; readonly nextOffset: number }
  /** Nothing was done. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** No answer: it may have been, or may yet be, carried out. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** How a read ended. */
export type ReadOutcome =
  | { readonly kind: 'read'; readonly records: readonly StoredKeyedRecord[]; readonly nextOffset: number }
  /** Records from the asked offset on have expired. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly detail: string };

/** How a read of the newest record of each key ended; `nextOffset` is where to read on from. */
export type ReadNewestOutcome =
  | { readonly kind: 'read'; readonly records: readonly StoredKeyedRecord[]; readonly nextOffset: number }
  | { readonly kind: 'failed'; readonly detail: string };

/** A member of a group and what it is dealt. */
export type JoinOutcome =
  | { readonly kind: 'joined'; readonly generation: number; readonly partitions: readonly LogPartition[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** Which member holds a place. */
export interface PartitionOwner {
  readonly partition: LogPartition;
  readonly member: string;
}

/** Who holds what in a group. */
export type ListOwnersOutcome =
  | { readonly kind: 'read'; readonly owners: readonly PartitionOwner[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** One append. */
export interface AppendRequest {
  readonly partition: LogPartition;
  readonly records: readonly KeyedRecord[];
  readonly producer: Producer | null;
  /** Offset at which the log must end; null for any. */
  readonly expectedEnd: number | null;
}

/** The store. No method throws. */
export interface Store {
  readonly append: (request: AppendRequest) => Promise<AppendOutcome>;
  readonly read: (place: LogPartition, fromOffset: number, waitMilliseconds: number) => Promise<ReadOutcome>;
  readonly readNewest: (place: LogPartition) => Promise<ReadNewestOutcome>;
  /** Joins a group or stays in it. `generation` is the last one whose places this member works with. */
  readonly join: (
    group: string,
    member: string,
    topics: readonly string[],
    generation: number,
  ) => Promise<JoinOutcome>;
  readonly leave: (group: string, member: string) => Promise<void>;
  readonly listOwners: (group: string) => Promise<ListOwnersOutcome>;
  /** Partitions that each topic has. */
  readonly partitionCount: number;
}
