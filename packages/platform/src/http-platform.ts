/** HTTP client of the platform; docs/PLATFORM.md describes the protocol. */
import { Agent, request } from 'undici';
import { z } from 'zod';
import { fail, succeed, type Result, type ResultName } from '@baobabdeck/errors';
import type { JobRequest, LogRecord, StreamName } from '@baobabdeck/types';
import type {
  AppendResult,
  HostList,
  Platform,
  ReadRequest,
  RecordPage,
  TaskReport,
  UsageReport,
} from './platform.js';
import { readRecord } from './record-schema.js';

/** Time beyond the requested wait after which an answer counts as lost. */
const ANSWER_TIMEOUT_MILLISECONDS = 3_000;

const FIRST_ERROR_STATUS = 400;
const EXPIRED_STATUS = 410;

const date = z.coerce.date();
const pageSchema = z.object({
  firstOffset: z.number().int(),
  nextOffset: z.number().int(),
  records: z.array(z.object({ offset: z.number().int(), record: z.unknown() })),
});
const hostListSchema = z.object({
  asOf: date,
  hosts: z.array(
    z.object({
      hostId: z.string(),
      presence: z.enum(['live', 'leaving', 'failed', 'unknown']),
      bootedAt: date,
    }),
  ),
});
const usageSchema = z.object({
  asOf: date,
  usage: z.array(z.object({ hostId: z.string(), runningRequests: z.number() })),
});
const tasksSchema = z.array(
  z.object({
    leaseId: z.string(),
    jobId: z.string(),
    state: z.enum(['running', 'succeeded', 'failed', 'lapsed', 'checkpointed', 'cancelled']),
  }),
);
const storedSchema = z.object({ offset: z.number().int() });

interface Call {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly body?: unknown;
  readonly waitMilliseconds?: number;
}

interface Answer {
  readonly status: number;
  readonly data: unknown;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message || error.name : String(error);
}

/** Creates a client of a platform. `timeoutMilliseconds` limits each call, in addition to the wait that it requests. */
export function connectPlatform(
  baseUrl: string,
  timeoutMilliseconds: number = ANSWER_TIMEOUT_MILLISECONDS,
): Platform {
  const agent = new Agent({ keepAliveTimeout: 4_000, connections: 16 });

  const call = async ({ method, path, body, waitMilliseconds = 0 }: Call): Promise<Result<Answer>> => {
    const limit = waitMilliseconds + timeoutMilliseconds;
    try {
      const response = await request(new URL(path, baseUrl), {
        method,
        dispatcher: agent,
        signal: AbortSignal.timeout(limit),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      const text = await response.body.text();
      return succeed({
        status: response.statusCode,
        data: text === '' ? null : (JSON.parse(text) as unknown),
      });
    } catch (error) {
      return fail('logUnreachable', `${method} ${path} at ${baseUrl}: ${describeError(error)}`);
    }
  };

  const callFor = async <T extends z.ZodType>(details: Call, schema: T): Promise<Result<z.infer<T>>> => {
    const answer = await call(details);
    if (!answer.ok) return answer;
    if (answer.value.status >= FIRST_ERROR_STATUS) {
      const kind: ResultName = answer.value.status === EXPIRED_STATUS ? 'logGap' : 'logUnreachable';
      return fail(kind, `${details.method} ${details.path} was answered with status ${answer.value.status}`);
    }
    const parsed = schema.safeParse(answer.value.data);
    if (parsed.success) return succeed(parsed.data);
    return fail(
      'logUnreachable',
      `${details.method} ${details.path} was answered with data of another shape`,
    );
  };

  const command = async (details: Call): Promise<Result<null>> => {
    const result = await callFor(details, z.unknown());
    return result.ok ? succeed(null) : result;
  };

  const append = async (stream: StreamName, record: LogRecord): Promise<AppendResult> => {
    const answer = await call({ method: 'POST', path: `/streams/${stream}/records`, body: record });
    if (!answer.ok) return { kind: 'unknown', detail: answer.failure.detail };
    const { status, data } = answer.value;
    const stored = storedSchema.safeParse(data);
    if (status < FIRST_ERROR_STATUS && stored.success) return { kind: 'stored', offset: stored.data.offset };
    const refused = status >= FIRST_ERROR_STATUS && status < 600;
    return { kind: refused ? 'refused' : 'unknown', detail: `The log answered with status ${status}` };
  };

  const read = async ({
    stream,
    fromOffset,
    waitMilliseconds,
    limit,
  }: ReadRequest): Promise<Result<RecordPage>> => {
    const path = `/streams/${stream}/records?from=${fromOffset}&limit=${limit}&wait-ms=${waitMilliseconds}`;
    const page = await callFor({ method: 'GET', path, waitMilliseconds }, pageSchema);
    if (!page.ok) return page;
    const records = page.value.records.map(({ offset, record }) => ({ offset, record: readRecord(record) }));
    return succeed({ ...page.value, records });
  };

  const readUsage = (hostIds: readonly string[]): Promise<Result<UsageReport>> =>
    callFor({ method: 'POST', path: '/usage', body: { hostIds } }, usageSchema);

  const startTask = (hostId: string, leaseId: string, job: JobRequest): Promise<Result<null>> =>
    command({ method: 'PUT', path: `/tasks/${encodeURIComponent(leaseId)}`, body: { hostId, job } });

  const changeTask = (action: string) => (leaseId: string) =>
    command({ method: 'POST', path: `/tasks/${encodeURIComponent(leaseId)}/${action}` });

  return {
    append,
    read,
    readUsage,
    startTask,
    listHosts: (since): Promise<Result<HostList>> =>
      callFor(
        { method: 'GET', path: since === null ? '/hosts' : `/hosts?since=${since.getTime()}` },
        hostListSchema,
      ),
    rebootHost: (hostId) => command({ method: 'POST', path: `/hosts/${encodeURIComponent(hostId)}/reboot` }),
    listTasks: (): Promise<Result<readonly TaskReport[]>> =>
      callFor({ method: 'GET', path: '/tasks' }, tasksSchema),
    checkpointTask: changeTask('checkpoint'),
    throttleTask: changeTask('throttle'),
    stopTask: changeTask('stop'),
    close: () => agent.destroy(),
  };
}
