/** Serves stand-in targets: hosts with slots that do pretended work and count what they did. */
import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import Koa from 'koa';
import { createWorkQueue, type WorkQueue } from './work-queue.js';

/** How a host answers. */
export type HostMode = 'normal' | 'fail' | 'cut' | 'hang';

/** What a host did. */
export interface HostReport {
  readonly hostId: string;
  readonly running: number;
  readonly mostRunning: number;
  readonly queued: number;
  readonly started: number;
  /** Pieces of work that a reboot cut off. */
  readonly cutByReboot: number;
  /** How often each piece of work started, by the header `x-work-id`. */
  readonly runs: Readonly<Record<string, number>>;
}

interface Host {
  readonly hostId: string;
  readonly queue: WorkQueue;
  readonly runs: Map<string, number>;
  mode: HostMode;
  started: number;
  cutByReboot: number;
  rebooting: boolean;
}

const UNAVAILABLE = 503;
const FAILED = 500;

function report(host: Host): HostReport {
  return {
    hostId: host.hostId,
    running: host.queue.running(),
    mostRunning: host.queue.mostRunning(),
    queued: host.queue.queued(),
    started: host.started,
    cutByReboot: host.cutByReboot,
    runs: Object.fromEntries(host.runs),
  };
}

async function readBytes(ctx: Koa.Context): Promise<number> {
  let bytes = 0;
  for await (const chunk of ctx.req) bytes += (chunk as Buffer).length;
  return bytes;
}

async function work(ctx: Koa.Context, host: Host): Promise<void> {
  const leave = await host.queue.enter();
  try {
    const workId = ctx.get('x-work-id');
    host.started += 1;
    if (workId !== '') host.runs.set(workId, (host.runs.get(workId) ?? 0) + 1);
    const bytes = await readBytes(ctx);
    const milliseconds = Number(ctx.query.ms ?? 0);
    if (milliseconds > 0) await sleep(milliseconds);
    if (host.rebooting) host.cutByReboot += 1;
    if (host.mode === 'hang') await new Promise<never>(() => {});
    const size = Number(ctx.query.bytes ?? 0);
    ctx.body = size > 0 ? Buffer.alloc(size, 'x') : JSON.stringify({ host: host.hostId, workId, bytes });
    ctx.type = 'application/json';
  } finally {
    leave();
  }
}

function cutOff(ctx: Koa.Context): void {
  ctx.respond = false;
  ctx.res.writeHead(200, { 'content-length': 1_000 });
  ctx.res.write('half an answ');
  setTimeout(() => ctx.req.socket.destroy(), 20);
}

async function answer(ctx: Koa.Context, host: Host): Promise<void> {
  if (host.mode === 'fail') {
    host.started += 1;
    ctx.status = FAILED;
    ctx.body = 'this worker fails everything';
    return;
  }
  await work(ctx, host);
  if (host.mode === 'cut') cutOff(ctx);
}

async function control(ctx: Koa.Context, host: Host, sockets: ReadonlySet<Socket>): Promise<void> {
  if (ctx.path === '/stub/mode') {
    host.mode = ctx.query.mode as HostMode;
  } else if (ctx.path === '/stub/reboot') {
    host.cutByReboot += host.queue.running();
    host.rebooting = true;
    setTimeout(
      () => {
        host.rebooting = false;
      },
      Number(ctx.query.ms ?? 0),
    );
    sockets.forEach((socket) => {
      if (socket !== ctx.req.socket) socket.destroy();
    });
  }
  ctx.body = report(host);
}

/** A host that listens. */
export interface TargetStub {
  readonly hostId: string;
  readonly port: number;
  readonly report: () => HostReport;
  readonly setMode: (mode: HostMode) => void;
  readonly close: () => void;
}

/** Starts one stand-in host. */
export async function startTargetStub(hostId: string, slots: number, port = 0): Promise<TargetStub> {
  const host: Host = {
    hostId,
    queue: createWorkQueue(slots),
    runs: new Map(),
    mode: 'normal',
    started: 0,
    cutByReboot: 0,
    rebooting: false,
  };
  const sockets = new Set<Socket>();
  const application = new Koa();
  application.use(async (ctx) => {
    if (ctx.path.startsWith('/stub/')) {
      await control(ctx, host, sockets);
    } else if (host.rebooting) {
      ctx.status = UNAVAILABLE;
    } else {
      await answer(ctx, host);
    }
  });
  application.on('error', () => undefined);
  const server: Server = createServer({ requestTimeout: 0 }, application.callback());
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address();
  return {
    hostId,
    port: typeof address === 'object' && address !== null ? address.port : port,
    report: () => report(host),
    setMode: (mode) => {
      host.mode = mode;
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
