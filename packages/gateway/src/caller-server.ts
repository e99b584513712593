/** Takes callers' requests over HTTP. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import Koa from 'koa';
import { failureOf, RESULT_CODES, type Failure } from '@baobabdeck/errors';
import type { WriteEvent } from '@baobabdeck/observability';
import { listenOn } from '@baobabdeck/peer-protocol';
import { problemOf } from './exchange.js';

/** Where callers' requests go. */
export type HandleRequest = (request: IncomingMessage, response: Koa.Context['res']) => Promise<void>;

/** A listening server for callers. */
export interface CallerServer {
  readonly port: number;
  /** Takes no new connection; answers from now on end theirs. */
  readonly stopAccepting: () => void;
  readonly close: () => void;
}

function failureOfParser(error: NodeJS.ErrnoException): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return failureOf('headersTooLarge', 'Send fewer or shorter headers');
  }
  return failureOf('malformedRequest', `Expected one well-formed HTTP/1.1 request, found: ${error.message}`);
}

function answerMalformed(error: NodeJS.ErrnoException, socket: Duplex, writeEvent: WriteEvent): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = failureOfParser(error);
  writeEvent('malformedRequest', { code: failure.code, detail: failure.detail });
  const { status, title } = RESULT_CODES[failure.kind];
  const problem = problemOf({ failure, ran: 'no', retryAfterSeconds: null });
  const head = [
    `HTTP/1.1 ${status} ${title}`,
    'connection: close',
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(problem)}`,
    `baobabdeck-result: ${failure.code}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${problem}`);
}

function createCallerServer(
  handle: HandleRequest,
  headerLimitBytes: number,
  isStopping: () => boolean,
): Server {
  const application = new Koa();
  application.use(async (ctx) => {
    ctx.respond = false;
    if (isStopping()) ctx.res.shouldKeepAlive = false;
    await handle(ctx.req, ctx.res);
  });
  return createServer(
    { maxHeaderSize: headerLimitBytes, requestTimeout: 0, keepAlive: true },
    application.callback(),
  );
}

/** Listens for callers. Rejects when the port is taken. */
export async function listenForCallers(
  ip: string,
  port: number,
  headerLimitBytes: number,
  handle: HandleRequest,
  writeEvent: WriteEvent,
): Promise<CallerServer> {
  let stopping = false;
  const server = createCallerServer(handle, headerLimitBytes, () => stopping);
  server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
    answerMalformed(error, socket, writeEvent),
  );
  const listeningPort = await listenOn(server, ip, port);
  return {
    port: listeningPort,
    stopAccepting: () => {
      stopping = true;
      server.close();
      server.closeIdleConnections();
    },
    close: () => server.closeAllConnections(),
  };
}
