/** Serves the stand-in platform over HTTP, as docs/PLATFORM.md describes it. */
import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import Router from '@koa/router';
import Koa from 'koa';
import { request } from 'undici';
import { createStubHosts, type StubHost, type StubTask } from './stub-hosts.js';
import { createStubStream, NO_FAULTS, type LogFaults, type StubStream } from './stub-log.js';

/** Faults and lags of the stand-in. */
interface StubFaults extends LogFaults {
  readonly hostListLagMilliseconds: number;
  readonly rebootMilliseconds: number;
}

const DEFAULT_FAULTS: StubFaults = { ...NO_FAULTS, hostListLagMilliseconds: 500, rebootMilliseconds: 800 };

const UNAVAILABLE = 503;
const EXPIRED = 410;
const NOT_FOUND = 404;

async function readJson(ctx: Koa.Context): Promise<unknown> {
  let text = '';
  for await (const chunk of ctx.req) text += String(chunk);
  return text === '' ? null : (JSON.parse(text) as unknown);
}

interface Stub {
  faults: StubFaults;
  readonly streams: Map<string, StubStream>;
  readonly hosts: ReturnType<typeof createStubHosts>;
  readonly tasks: Map<string, StubTask>;
}

function streamOf(stub: Stub, name: string): StubStream {
  const known = stub.streams.get(name);
  if (known !== undefined) return known;
  const stream = createStubStream();
  stub.streams.set(name, stream);
  return stream;
}

async function appendRecord(stub: Stub, ctx: Koa.Context, name: string): Promise<void> {
  const record = await readJson(ctx);
  const { delayMilliseconds, loseAnswers, retainedRecords } = stub.faults;
  if (delayMilliseconds > 0) await sleep(delayMilliseconds);
  const offset = streamOf(stub, name).append(record, retainedRecords);
  if (loseAnswers > 0) {
    Object.assign(stub, { faults: { ...stub.faults, loseAnswers: loseAnswers - 1 } });
    ctx.respond = false;
    ctx.req.socket.destroy();
    return;
  }
  ctx.body = { offset };
}

async function readRecords(stub: Stub, ctx: Koa.Context, name: string): Promise<void> {
  const query = ctx.query as Readonly<Record<string, string | undefined>>;
  const fromOffset = Number(query.from ?? 0);
  const stream = streamOf(stub, name);
  if (fromOffset < stream.firstOffset()) {
    ctx.status = EXPIRED;
    ctx.body = { firstOffset: stream.firstOffset() };
    return;
  }
  const waitMilliseconds = Number(query['wait-ms'] ?? 0);
  if (fromOffset >= stream.nextOffset() && waitMilliseconds > 0) await stream.waitForMore(waitMilliseconds);
  if (stub.faults.delayMilliseconds > 0) await sleep(stub.faults.delayMilliseconds);
  if (stub.faults.down) {
    ctx.status = UNAVAILABLE;
    return;
  }
  const records = stream.read(fromOffset, Number(query.limit ?? 1_000));
  ctx.body = { firstOffset: stream.firstOffset(), nextOffset: stream.nextOffset(), records };
}

async function askTarget(address: string, path: string, method: 'GET' | 'POST'): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      headersTimeout: 1_000,
      bodyTimeout: 1_000,
    });
    return await response.body.json();
  } catch {
    return null;
  }
}

async function runningOn(host: StubHost): Promise<number> {
  const report = (await askTarget(host.address, '/stub/report', 'GET')) as {
    readonly running?: number;
  } | null;
  return report?.running ?? 0;
}

async function reboot(stub: Stub, host: StubHost): Promise<void> {
  await askTarget(host.address, `/stub/reboot?ms=${stub.faults.rebootMilliseconds}`, 'POST');
  stub.hosts.set({ ...host, presence: 'failed' });
  await sleep(stub.faults.rebootMilliseconds);
  stub.hosts.set({ ...host, presence: 'live', bootedAt: new Date() });
}

function addLogRoutes(router: Router, stub: Stub): void {
  router.use('/streams', async (ctx, next) => {
    if (!stub.faults.down) {
      await next();
      return;
    }
    ctx.status = UNAVAILABLE;
    ctx.body = { error: 'the log is down' };
  });
  router.post('/streams/:name/records', (ctx) => appendRecord(stub, ctx, String(ctx.params.name)));
  router.get('/streams/:name/records', (ctx) => readRecords(stub, ctx, String(ctx.params.name)));
}

function addHostRoutes(router: Router, stub: Stub): void {
  router.get('/hosts', (ctx) => {
    const since = new Date(Number(ctx.query.since ?? 0));
    const { asOf, hosts } = stub.hosts.view(stub.faults.hostListLagMilliseconds);
    ctx.body = { asOf, hosts: hosts.filter((host) => host.changedAt > since) };
  });
  router.post('/usage', async (ctx) => {
    const { hostIds } = (await readJson(ctx)) as { readonly hostIds: readonly string[] };
    const asOf = new Date();
    const known = hostIds
      .map((hostId) => stub.hosts.get(hostId))
      .filter((host): host is StubHost => host !== undefined);
    const usage = await Promise.all(
      known.map(async (host) => ({ hostId: host.hostId, runningRequests: await runningOn(host) })),
    );
    ctx.body = { asOf, usage };
  });
  router.post('/hosts/:hostId/reboot', (ctx) => {
    const host = stub.hosts.get(String(ctx.params.hostId));
    if (host === undefined) {
      ctx.status = NOT_FOUND;
      return;
    }
    void reboot(stub, host);
    ctx.body = {};
  });
}

function addTaskRoutes(router: Router, stub: Stub): void {
  router.get('/tasks', (ctx) => {
    ctx.body = [...stub.tasks.values()];
  });
  router.put('/tasks/:leaseId', async (ctx) => {
    const { hostId, job } = (await readJson(ctx)) as {
      readonly hostId: string;
      readonly job: { readonly jobId: string };
    };
    const leaseId = String(ctx.params.leaseId);
    if (!stub.tasks.has(leaseId)) {
      stub.tasks.set(leaseId, { leaseId, jobId: job.jobId, hostId, state: 'running' });
    }
    ctx.body = {};
  });
  const ends = { checkpoint: 'checkpointed', stop: 'cancelled', throttle: 'running' } as const;
  Object.entries(ends).forEach(([action, state]) => {
    router.post(`/tasks/:leaseId/${action}`, (ctx) => {
      const task = stub.tasks.get(String(ctx.params.leaseId));
      if (task?.state === 'running') stub.tasks.set(task.leaseId, { ...task, state });
      ctx.body = {};
    });
  });
}

function addControlRoutes(router: Router, stub: Stub): void {
  router.post('/stub/faults', async (ctx) => {
    const change = (await readJson(ctx)) as Partial<StubFaults>;
    Object.assign(stub, { faults: { ...stub.faults, ...change } });
    ctx.body = stub.faults;
  });
  router.post('/stub/hosts', async (ctx) => {
    const hosts = (await readJson(ctx)) as readonly {
      readonly hostId: string;
      readonly address: string;
      readonly presence?: StubHost['presence'];
    }[];
    hosts.forEach((host) => {
      const bootedAt = stub.hosts.get(host.hostId)?.bootedAt ?? new Date(0);
      stub.hosts.set({ ...host, presence: host.presence ?? 'live', bootedAt });
    });
    ctx.body = { hosts: hosts.length };
  });
  router.post('/stub/tasks/:leaseId/:state', (ctx) => {
    const task = stub.tasks.get(String(ctx.params.leaseId));
    if (task !== undefined) {
      stub.tasks.set(task.leaseId, { ...task, state: ctx.params.state as StubTask['state'] });
    }
    ctx.body = {};
  });
}

/** A running stand-in. */
export interface PlatformStub {
  readonly port: number;
  readonly close: () => void;
}

/** Starts the stand-in on a port; 0 lets the machine choose. */
export async function startPlatformStub(port: number): Promise<PlatformStub> {
  const stub: Stub = {
    faults: DEFAULT_FAULTS,
    streams: new Map(),
    hosts: createStubHosts(),
    tasks: new Map(),
  };
  const router = new Router();
  addLogRoutes(router, stub);
  addHostRoutes(router, stub);
  addTaskRoutes(router, stub);
  addControlRoutes(router, stub);
  const application = new Koa();
  application.use(router.routes());
  const server: Server = createServer(application.callback());
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address();
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
