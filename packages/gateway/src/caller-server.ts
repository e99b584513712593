/** HTTP server for callers. */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import Koa from 'koa';
import { failureOf, RESULT_CODES, type Failure } from '@baobabdeck/errors';
import type { WriteEvent } from '@baobabdeck/observability';
import { listenOn } from '@baobabdeck/peer-protocol';
import { serializeProblem } from './exchange.js';

/** Handler of a caller's request. */
export type HandleRequest = (request: IncomingMessage, response: Koa.Context['res']) => Promise<void>;

/** HTTP server that listens for callers. */
export interface CallerServer {
  readonly port: number;
  /** Stops accepting connections, closes idle ones and answers later requests on open ones with `connection: close`. */
  readonly stopAccepting: () => void;
  /** Closes all connections, also those with a request in progress. */
  readonly close: () => void;
}

/** Returns the failure to report for an error of the HTTP parser. */
function toParseFailure(error: NodeJS.ErrnoException): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') {
    return failureOf('headersTooLarge', 'Send fewer or shorter headers');
  }
  return failureOf('malformedRequest', `Expected one well-formed HTTP/1.1 request, found: ${error.message}`);
}

function answerMalformedRequest(error: NodeJS.ErrnoException, socket: Duplex, writeEvent: WriteEvent): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const failure = toParseFailure(error);
  writeEvent('malformedRequest', { code: failure.code, detail: failure.detail });
  const { status, title } = RESULT_CODES[failure.kind];
  const problem = serializeProblem({ failure, ran: 'no', retryAfterSeconds: null });
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

/** Starts the HTTP server for callers. Rejects if the port is taken. */
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
    answerMalformedRequest(error, socket, writeEvent),
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
