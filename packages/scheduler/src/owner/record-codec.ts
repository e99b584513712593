/** Encodes service records as keyed records of the store: one key per subject, values in CBOR. */
import { Decoder, Encoder } from 'cbor-x';
import type {
  InterferenceRecord,
  JobForwardRecord,
  JobPart,
  JobPartProgress,
  JobProgress,
  JobRequest,
  ServiceRecord,
  StoredServiceRecord,
  TaskProgress,
} from '@baobabdeck/scheduling';
import { decodeStored, type DecodedRecord } from './decoded-record.js';
import type { KeyedRecord, StoredKeyedRecord } from '../ports/index.js';

const OPTIONS = { useRecords: false, mapsAsObjects: true } as const;
const encoder = new Encoder(OPTIONS);
const decoder = new Decoder(OPTIONS);

const OWNER_KEY = 'owner';
const REQUEST_PREFIX = 'request/';
const CANCEL_PREFIX = 'cancel/';
const PROGRESS_PREFIX = 'progress/';
const PART_PREFIX = 'part/';
const RELEASE_PREFIX = 'release/';
const INTERFERENCE_PREFIX = 'interference/';
const INTERFERENCE_KEY = `${INTERFERENCE_PREFIX}model`;

/** Job request whose times are milliseconds since 1970. */
type EncodedRequest = Omit<JobRequest, 'acceptedAt' | 'repetition' | 'workspace' | 'queueAddress'> & {
  /** Absent in records of earlier versions. */
  readonly workspace?: string | null;
  /** Absent in records of earlier versions. */
  readonly queueAddress?: string | null;
  readonly acceptedAt: number;
  readonly repetition: {
    readonly times: number;
    readonly firstDueAt: number;
    readonly intervalMilliseconds: number;
  } | null;
};

/** Task progress as an array, which takes half the bytes of an object with field names. */
type EncodedTask = readonly [
  index: number,
  isDone: boolean,
  lastRun: number,
  failedRuns: number,
  checkpoint: string,
  runs: readonly (readonly [run: number, workerId: string, incarnation: number])[],
  /** Absent in records of earlier versions and for tasks under which no worker crashed. */
  workerCrashes?: number,
  isQuarantined?: boolean,
];

type EncodedProgress = readonly [
  phase: JobProgress['phase'],
  queue: string,
  occurrencesDone: readonly number[],
  occurrencesDoneBelow: number,
  occurrences: readonly (readonly [occurrence: number, steps: readonly (readonly EncodedTask[])[]])[],
  /** Absent in records of earlier versions. */
  hasStarted?: boolean,
  /** Absent in records of earlier versions and of jobs that have not failed. */
  failureReason?: string,
];

/** Mark of a forwarded job, in the place of its progress. */
type EncodedForward = readonly [phase: 'forwarded', service: string, isSent: boolean];

/** Progress of a part: its tasks by step. */
type EncodedPart = readonly (readonly [step: number, tasks: readonly EncodedTask[]])[];

/** Model of interference with its time in milliseconds since 1970. */
type EncodedInterference = Omit<InterferenceRecord, 'recordedAt'> & {
  readonly version: number;
  readonly recordedAt: number;
};

function encodeRequest(request: JobRequest): EncodedRequest {
  const { acceptedAt, repetition } = request;
  return {
    ...request,
    acceptedAt: acceptedAt.getTime(),
    repetition: repetition === null ? null : { ...repetition, firstDueAt: repetition.firstDueAt.getTime() },
  };
}

function decodeRequest(encoded: EncodedRequest): JobRequest {
  const { acceptedAt, repetition } = encoded;
  return {
    ...encoded,
    workspace: encoded.workspace ?? null,
    queueAddress: encoded.queueAddress ?? null,
    acceptedAt: new Date(acceptedAt),
    repetition: repetition === null ? null : { ...repetition, firstDueAt: new Date(repetition.firstDueAt) },
  };
}

function encodeTask(task: TaskProgress): EncodedTask {
  const { index, isDone, lastRun, failedRuns, checkpoint, workerCrashes, isQuarantined } = task;
  const rows = task.runs.map(({ run, workerId, incarnation }) => [run, workerId, incarnation] as const);
  const fields = [index, isDone, lastRun, failedRuns, checkpoint, rows] as const;
  return workerCrashes > 0 || isQuarantined ? [...fields, workerCrashes, isQuarantined] : fields;
}

function decodeTask(encoded: EncodedTask): TaskProgress {
  const [index, isDone, lastRun, failedRuns, checkpoint, rows] = encoded;
  const [, , , , , , workerCrashes = 0, isQuarantined = false] = encoded;
  const runs = rows.map(([run, workerId, incarnation]) => ({ run, workerId, incarnation }));
  return { index, isDone, lastRun, failedRuns, workerCrashes, isQuarantined, checkpoint, runs };
}

function encodeProgress(progress: JobProgress): EncodedProgress {
  const occurrences = progress.occurrences.map(
    ({ occurrence, steps }) => [occurrence, steps.map((tasks) => tasks.map(encodeTask))] as const,
  );
  const { phase, queue, occurrencesDone, occurrencesDoneBelow, hasStarted, failureReason } = progress;
  const fields = [phase, queue, occurrencesDone, occurrencesDoneBelow, occurrences, hasStarted] as const;
  return failureReason === null ? fields : [...fields, failureReason];
}

function decodeProgress(encoded: EncodedProgress): JobProgress {
  const [phase, queue, occurrencesDone, occurrencesDoneBelow, rows] = encoded;
  const [, , , , , recordedStart, failureReason = null] = encoded;
  const hasStarted = recordedStart ?? (rows.length > 0 || occurrencesDoneBelow > 0);
  const occurrences = rows.map(([occurrence, steps]) => ({
    occurrence,
    steps: steps.map((tasks) => tasks.map(decodeTask)),
  }));
  return { phase, queue, occurrencesDone, occurrencesDoneBelow, occurrences, hasStarted, failureReason };
}

function encodeForward({ service, isSent }: JobForwardRecord): EncodedForward {
  return ['forwarded', service, isSent];
}

function decodeForward(jobId: string, [, service, isSent]: EncodedForward): JobForwardRecord {
  return { kind: 'job-forwarded', jobId, service, isSent };
}

function isForward(encoded: EncodedProgress | EncodedForward): encoded is EncodedForward {
  return encoded[0] === 'forwarded';
}

function partKeyOf({ jobId, occurrence, part }: JobPart): string {
  return `${PART_PREFIX}${jobId}/${occurrence}/${part}`;
}

function encodePart({ steps }: JobPartProgress): EncodedPart {
  return steps.map(({ step, tasks }) => [step, tasks.map(encodeTask)]);
}

function decodePart(subject: string, encoded: EncodedPart): JobPartProgress {
  const [jobId = '', occurrence, part] = subject.split('/');
  const steps = encoded.map(([step, tasks]) => ({ step, tasks: tasks.map(decodeTask) }));
  return { jobId, occurrence: Number(occurrence), part: Number(part), steps };
}

function encodeInterference({ recordedAt, baselines, pairs }: InterferenceRecord): EncodedInterference {
  return { version: 1, recordedAt: recordedAt.getTime(), baselines, pairs };
}

/** @throws {RangeError} if the record has another version */
function decodeInterference({
  version,
  recordedAt,
  baselines,
  pairs,
}: EncodedInterference): InterferenceRecord {
  if (version !== 1) throw new RangeError(`Expected version 1 of the model, found ${version}`);
  return { recordedAt: new Date(recordedAt), baselines, pairs };
}

/** Encodes a service record as keyed records; a null value deletes the key. */
export function encodeRecord(record: ServiceRecord): readonly KeyedRecord[] {
  switch (record.kind) {
    case 'job-accepted':
      return [
        { key: REQUEST_PREFIX + record.request.jobId, value: encoder.encode(encodeRequest(record.request)) },
      ];
    case 'job-cancelled':
      return [{ key: CANCEL_PREFIX + record.jobId, value: encoder.encode(true) }];
    case 'job-progress':
      return [
        { key: PROGRESS_PREFIX + record.jobId, value: encoder.encode(encodeProgress(record.progress)) },
      ];
    case 'job-forgotten':
      return [{ key: PROGRESS_PREFIX + record.jobId, value: null }];
    case 'job-forwarded':
      return [{ key: PROGRESS_PREFIX + record.jobId, value: encoder.encode(encodeForward(record)) }];
    case 'job-part-progress':
      return [{ key: partKeyOf(record.part), value: encoder.encode(encodePart(record.part)) }];
    case 'job-part-forgotten':
      return [{ key: partKeyOf(record.part), value: null }];
    case 'worker-released':
      return [{ key: RELEASE_PREFIX + record.workerId, value: encoder.encode(record.incarnation) }];
    case 'worker-returned':
      return [{ key: RELEASE_PREFIX + record.workerId, value: null }];
    case 'interference-learned':
      return [{ key: INTERFERENCE_KEY, value: encoder.encode(encodeInterference(record.model)) }];
    case 'ownership-claimed':
      return [{ key: OWNER_KEY, value: encoder.encode(record.owner) }];
    default:
      return [];
  }
}

/** Returns the tombstones that delete the request and the cancellation of a job from the inbox. */
export function encodeRequestTombstones(jobId: string): readonly KeyedRecord[] {
  return [REQUEST_PREFIX, CANCEL_PREFIX].map((prefix) => ({ key: prefix + jobId, value: null }));
}

/** @throws {RangeError} if the key is unknown; also throws if the value is malformed */
function decodeValue(key: string, value: Uint8Array): ServiceRecord {
  const content = decoder.decode(value) as unknown;
  if (key === OWNER_KEY) return { kind: 'ownership-claimed', owner: String(content) };
  const slash = key.indexOf('/') + 1;
  const subject = key.slice(slash);
  switch (key.slice(0, slash)) {
    case REQUEST_PREFIX:
      return { kind: 'job-accepted', request: decodeRequest(content as EncodedRequest) };
    case CANCEL_PREFIX:
      return { kind: 'job-cancelled', jobId: subject };
    case PROGRESS_PREFIX:
      return isForward(content as EncodedProgress | EncodedForward)
        ? decodeForward(subject, content as EncodedForward)
        : { kind: 'job-progress', jobId: subject, progress: decodeProgress(content as EncodedProgress) };
    case PART_PREFIX:
      return { kind: 'job-part-progress', part: decodePart(subject, content as EncodedPart) };
    case RELEASE_PREFIX:
      return { kind: 'worker-released', workerId: subject, incarnation: Number(content) };
    case INTERFERENCE_PREFIX:
      return { kind: 'interference-learned', model: decodeInterference(content as EncodedInterference) };
    default:
      throw new RangeError(`Expected the key of a service record, found ${key}`);
  }
}

/** Decodes one stored record; a key that this version does not know counts as unreadable. */
export function decodeRecord(stored: StoredKeyedRecord): DecodedRecord<StoredServiceRecord> {
  return decodeStored(stored, (key, value) => ({ offset: stored.offset, record: decodeValue(key, value) }));
}
