/** The platform's store, as the scheduler uses it: logs of keyed records, and groups that assign them to members. */

/** A log: one partition of a topic. */
export interface LogPartition {
  readonly topic: string;
  readonly partition: number;
}

/** A record with a key. The newest record of each key never expires; a null value drops the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | null;
}

/** A keyed record and its offset in the log. */
export interface StoredKeyedRecord extends KeyedRecord {
  readonly offset: number;
}

/** The producer of an append: makes a repeated append take effect once, and fences off the appends of former owners. */
export interface Producer {
  readonly name: string;
  /** Appends with a lower epoch than the highest one seen are fenced. */
  readonly epoch: number;
  /** Increases by one with each append of an epoch. */
  readonly sequence: number;
}

/** The result of an append. */
export type AppendOutcome =
  | { readonly kind: 'stored'; readonly firstOffset: number; readonly nextOffset: number }
  /** A higher epoch of this producer has been seen. */
  | { readonly kind: 'fenced' }
  /** The log does not end at the expected offset. */
  | { readonly kind: 'moved'; readonly nextOffset: number }
  /** The append was not carried out; a later one may be. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** The append was not carried out and never will be, for example because a record is too large. */
  | { readonly kind: 'invalid'; readonly detail: string }
  /** No answer arrived: the append may have been carried out, or may still be. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** The result of a read. */
export type ReadOutcome =
  | {
      readonly kind: 'read';
      readonly records: readonly StoredKeyedRecord[];
      readonly nextOffset: number;
      /** Whether the log had further records at the time of the read; a read returns a limited number of bytes. */
      readonly hasMore: boolean;
    }
  /** Records at or after the requested offset have expired. */
  | { readonly kind: 'expired' }
  | { readonly kind: 'failed'; readonly detail: string };

/** The result of reading the newest record of each key; `nextOffset` is the offset from which to continue. */
export type ReadNewestOutcome =
  | { readonly kind: 'read'; readonly records: readonly StoredKeyedRecord[]; readonly nextOffset: number }
  | { readonly kind: 'failed'; readonly detail: string };

/** The result of joining a group: the partitions assigned to the member, in one generation of the assignment. */
export type JoinOutcome =
  | { readonly kind: 'joined'; readonly generation: number; readonly partitions: readonly LogPartition[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** The member of a group that holds a partition. */
export interface PartitionOwner {
  readonly partition: LogPartition;
  readonly member: string;
}

/** The result of listing the holders of a group's partitions. */
export type ListOwnersOutcome =
  | { readonly kind: 'read'; readonly owners: readonly PartitionOwner[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** An append of records to one log. */
export interface AppendRequest {
  readonly partition: LogPartition;
  readonly records: readonly KeyedRecord[];
  readonly producer: Producer | null;
  /** The offset at which the log must end; null for any. */
  readonly expectedEnd: number | null;
}

/** Limits on appends. */
export interface AppendLimits {
  /** The most bytes of one record: its key, its value and one byte. */
  readonly recordBytes: number;
  /** The most bytes of the records of one append, with four bytes more for each. */
  readonly requestBytes: number;
}

/** The store. No method throws. */
export interface Store {
  readonly append: (request: AppendRequest) => Promise<AppendOutcome>;
  readonly read: (
    partition: LogPartition,
    fromOffset: number,
    waitMilliseconds: number,
  ) => Promise<ReadOutcome>;
  readonly readNewest: (partition: LogPartition) => Promise<ReadNewestOutcome>;
  /** Joins a group or stays in it. `generation` is the last one whose assignment this member has applied. */
  readonly join: (
    group: string,
    member: string,
    topics: readonly string[],
    generation: number,
  ) => Promise<JoinOutcome>;
  readonly leave: (group: string, member: string) => Promise<void>;
  readonly listOwners: (group: string) => Promise<ListOwnersOutcome>;
  /** The number of partitions of each topic. */
  readonly partitionCount: number;
  readonly limits: AppendLimits;
}
