/** Schemas of the TOML settings files. Key names end with their unit; unknown keys are faults. */
import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]*$/, 'expected lower-case letters, digits and hyphens, beginning with a letter');
const count = z.number().int().min(0);
const positive = z.number().int().min(1);
const DAY_MILLISECONDS = 86_400_000;
const duration = z.number().int().min(1).max(DAY_MILLISECONDS);
const ipAddress = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i,
    'expected an IP number and a port, as 10.0.0.1:9000',
  );

const dataCentre = z.strictObject({ region: name });

const hardware = z.strictObject({
  cores: positive,
  'memory-gb': positive,
  accelerators: count.default(0),
  features: z.record(name, positive).default({}),
});

const pool = z.strictObject({
  'maximum-absent-hosts': count,
  'failure-reserve-hosts': count.default(0),
  'maximum-drained-per-rack': positive.default(1),
  'slots-per-host': positive.default(8),
  'connections-per-host': positive.default(64),
  'slots-reserved-for-short': count.default(0),
  'minimum-hosts': count.nullable().default(null),
});

const service = z.strictObject({
  pool: name,
  'default-deadline-ms': duration.default(30_000),
  'long-work-threshold-ms': duration.default(1_000),
  'maximum-waiting': positive.default(1_000),
  'replayable-body-bytes': count.default(65_536),
  'silence-timeout-ms': duration.default(3_000),
});

const host = z.strictObject({ id: name, address: ipAddress });

const rack = z.strictObject({ 'data-centre': name, pool: name, hardware: name, hosts: z.array(host) });

const team = z.strictObject({ 'cores-quota': count, 'accelerators-quota': count.default(0) });

/** A digest, not a key: the published configuration can be read by everybody who reads the log. */
const keyDigest = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'expected the SHA-256 digest of a key, 64 hexadecimal digits');

const workspace = z.strictObject({
  'key-digests': z.array(keyDigest).default([]),
  weight: z.number().positive().default(1),
  'maximum-cores': positive.nullable().default(null),
  'maximum-memory-gb': positive.nullable().default(null),
  'maximum-accelerators': positive.nullable().default(null),
});

const sections = {
  'data-centres': z.record(name, dataCentre).default({}),
  hardware: z.record(name, hardware).default({}),
  pools: z.record(name, pool).default({}),
  services: z.record(name, service).default({}),
  racks: z.record(name, rack).default({}),
  teams: z.record(name, team).default({}),
  workspaces: z.record(name, workspace).default({}),
};

/** Schema of a complete fleet file: the base with its overlay merged in. */
export const fleetSchema = z.strictObject(sections);

/** A validated fleet file. */
export type FleetFile = z.infer<typeof fleetSchema>;

const LOWEST_PORT = 0;
const HIGHEST_PORT = 65_535;
const port = z.number().int().min(LOWEST_PORT).max(HIGHEST_PORT);

/** Schema of the settings of one process: identity, ports, timeouts and limits. Port 0 lets the machine choose a free port. */
export const processSchema = z.strictObject({
  'process-id': name,
  'data-centre': name,
  'listen-ip': z.string().default('127.0.0.1'),
  'peer-port': port.default(0),
  'admin-port': port.default(0),
  'caller-port': port.default(0),
  'platform-url': z.url(),
  'heartbeat-interval-ms': duration.default(500),
  'lapse-timeout-ms': duration.default(2_500),
  'removal-timeout-ms': duration.default(5_000),
  'platform-poll-interval-ms': duration.default(1_000),
  'drain-timeout-ms': duration.default(60_000),
  'header-limit-bytes': positive.default(16_384),
  'keyed-body-limit-bytes': positive.default(1_048_576),
  'key-memory-seconds': positive.default(86_400),
  'untimed-key-limit': positive.default(1_000_000),
  'snapshot-every-records': positive.default(5_000),
  'otlp-url': z.url().nullable().default(null),
  'log-level': z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/** Validated settings of a process, under the key names of the file. */
export type ProcessSettings = z.infer<typeof processSchema>;
