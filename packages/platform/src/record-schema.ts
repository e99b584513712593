/** Schema of the records in the log. A record that does not match it is unreadable for this version. */
import { z } from 'zod';
import type { LogRecord } from '@baobabdeck/types';

const date = z.coerce.date();
const nullableDate = z.union([z.null(), date]);
const text = z.string();
const count = z.number().int().min(0);
const table = z.record(text, count);

const sectionOf = <T extends z.ZodType>(sectionKind: string, section: T) =>
  z.object({ sectionKind: z.literal(sectionKind), name: text, section: section.nullable() });

const sectionChange = z.discriminatedUnion('sectionKind', [
  sectionOf('dataCentres', z.object({ region: text })),
  sectionOf(
    'hardware',
    z.object({ cores: count, memoryGigabytes: count, accelerators: count, features: table }),
  ),
  sectionOf(
    'pools',
    z.object({
      maximumAbsentHosts: count,
      failureReserveHosts: count,
      maximumDrainedPerRack: count,
      slotsPerHost: count,
      connectionsPerHost: count,
      slotsReservedForShort: count,
      minimumHosts: count.nullable().default(null),
    }),
  ),
  sectionOf(
    'services',
    z.object({
      pool: text,
      defaultDeadlineMilliseconds: count,
      longWorkThresholdMilliseconds: count,
      maximumWaiting: count,
      replayableBodyBytes: count,
      silenceTimeoutMilliseconds: count,
    }),
  ),
  sectionOf(
    'racks',
    z.object({
      dataCentre: text,
      pool: text,
      hardware: text,
      hosts: z.array(z.object({ id: text, address: text })),
    }),
  ),
  sectionOf('teams', z.object({ coresQuota: count, acceleratorsQuota: count })),
  sectionOf(
    'workspaces',
    z.object({
      keyDigests: z.array(text),
      weight: z.number().min(0),
      maximumCores: count.nullable(),
      maximumMemoryGigabytes: count.nullable(),
      maximumAccelerators: count.nullable(),
    }),
  ),
]);

const identity = z.object({
  processId: text,
  incarnation: text,
  role: z.enum(['gateway', 'controller']),
  peerAddress: text,
  adminAddress: text,
  dataCentre: text,
});

const job = z.object({
  jobId: text,
  team: text,
  pool: text,
  cores: count,
  accelerators: count,
  memoryGigabytes: count,
  urgent: z.boolean(),
  repeatable: z.boolean(),
});

const kind = <K extends string>(name: K) => ({ kind: z.literal(name) });
const epoch = count.nullable();

const body = z.discriminatedUnion('kind', [
  z.object({ ...kind('configuration-published'), expectedVersion: count, changes: z.array(sectionChange) }),
  z.object({ ...kind('process-registered'), identity }),
  z.object({ ...kind('process-removed'), processId: text, incarnation: text }),
  z.object({ ...kind('pool-control-claimed'), pool: text, epoch: count }),
  z.object({
    ...kind('host-presence-observed'),
    hostId: text,
    presence: z.enum(['live', 'leaving', 'failed', 'unknown']),
  }),
  z.object({
    ...kind('host-drain-requested'),
    hostId: text,
    purpose: z.enum(['maintenance', 'move', 'operator']),
    waveId: text.nullable(),
    destinationPool: text.nullable(),
    hostListAgeMilliseconds: count,
    epoch,
  }),
  z.object({ ...kind('host-drained'), hostId: text, epoch: count }),
  z.object({ ...kind('host-returned'), hostId: text, epoch }),
  z.object({ ...kind('wave-started'), plan: z.object({ waveId: text, hostIds: z.array(text) }) }),
  z.object({ ...kind('wave-paused'), waveId: text, reason: text }),
  z.object({ ...kind('wave-resumed'), waveId: text }),
  z.object({ ...kind('wave-host-skipped'), waveId: text, hostId: text, reason: text }),
  z.object({ ...kind('job-submitted'), job }),
  z.object({ ...kind('job-placed'), jobId: text, hostId: text, leaseId: text, epoch: count }),
  z.object({
    ...kind('job-ended'),
    jobId: text,
    leaseId: text,
    end: z.enum(['succeeded', 'failed', 'lapsed', 'checkpointed', 'cancelled']),
    epoch,
  }),
  z.object({ ...kind('job-cancelled'), jobId: text }),
  z.object({
    ...kind('keys-claimed'),
    processId: text,
    incarnation: text,
    claims: z.array(z.object({ keyHash: text, fingerprint: text, requestId: text, madeAt: nullableDate })),
    memoryMilliseconds: count,
    untimedLimit: count,
  }),
  z.object({
    ...kind('keys-ended'),
    ends: z.array(
      z.object({ keyHash: text, requestId: text, outcome: z.enum(['answered', 'not-run', 'unknown']) }),
    ),
  }),
  z.object({
    ...kind('snapshot-part'),
    snapshotId: text,
    throughOffset: count,
    part: count,
    parts: count,
    checksum: text,
    data: text,
  }),
]);

const record = z.object({ id: text, issuer: text, issuedAt: date, decidedAtOffset: count, body });

/** Decodes a record from untrusted data; returns null if this version cannot read it. */
export function readRecord(data: unknown): LogRecord | null {
  const parsed = record.safeParse(data);
  return parsed.success ? (parsed.data as LogRecord) : null;
}
