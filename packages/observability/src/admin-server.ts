/** HTTP admin server of a process: health, readiness, metrics, status and explanations. */
import { createServer } from 'node:http';
import Koa from 'koa';
import type { Registry } from 'prom-client';

/** Functions of the process that the admin server answers from. */
export interface AdminQueries {
  readonly readiness: () => { readonly ready: boolean; readonly reason: string };
  readonly status: () => unknown;
  /** Answers `/explain/<kind>/<name>`; null if nothing has this kind and name. */
  readonly explain: (kind: string, name: string) => unknown;
  readonly registry: Registry;
}

/** A listening admin server; `port` is the bound port, also where port 0 was requested. */
export interface AdminServer {
  readonly port: number;
  readonly close: () => void;
}

const UNAVAILABLE = 503;
const NOT_FOUND = 404;

async function answer(ctx: Koa.Context, queries: AdminQueries): Promise<void> {
  const [, section, kind, ...rest] = ctx.path.split('/');
  if (ctx.path === '/health') {
    ctx.body = { alive: true };
  } else if (ctx.path === '/ready') {
    const readiness = queries.readiness();
    if (!readiness.ready) ctx.status = UNAVAILABLE;
    ctx.body = readiness;
  } else if (ctx.path === '/metrics') {
    ctx.type = queries.registry.contentType;
    ctx.body = await queries.registry.metrics();
  } else if (ctx.path === '/status') {
    ctx.body = queries.status();
  } else if (section === 'explain' && kind !== undefined) {
    const explanation = queries.explain(kind, decodeURIComponent(rest.join('/')));
    if (explanation === null) ctx.status = NOT_FOUND;
    ctx.body = explanation ?? { error: `Nothing is known of ${kind} '${rest.join('/')}'` };
  } else {
    ctx.status = NOT_FOUND;
    ctx.body = { error: 'Expected /health, /ready, /metrics, /status or /explain/<kind>/<name>' };
  }
}

/** Listens on the admin port; port 0 lets the machine choose one. Rejects if the port is in use. */
export async function listenForAdmin(ip: string, port: number, queries: AdminQueries): Promise<AdminServer> {
  const application = new Koa();
  application.use((ctx) => answer(ctx, queries));
  const server = createServer(application.callback());
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, resolve);
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
