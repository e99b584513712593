/** Small helpers for HTTP on loopback, shared by the stand-ins and the clients. */
import { Buffer } from 'node:buffer';
import { randomInt } from 'node:crypto';
import { createServer, request as sendRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { promisify } from 'node:util';

export const LOOPBACK = '127.0.0.1';

/** Reads a whole request or response. */
export async function readAll(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

export function parseJson(buffer) {
  try {
    return JSON.parse(buffer.toString('utf8'));
  } catch {
    return null;
  }
}

export function reply(response, status, body) {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Starts a server on a port, by default on any free one, and returns its address. */
export async function listen(handle, port = 0) {
  const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, (request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return { address: `${LOOPBACK}:${server.address().port}`, server };
}

/**
 * Range of the ports for the processes. It lies below the ports that the system gives to connections and to other
 * servers, so that none of these takes a port before its process listens, also after a restart.
 */
const LOWEST_PORT = 12_000;
const HIGHEST_PORT = 30_000;

async function isFree(port) {
  try {
    const { server } = await listen(async () => undefined, port);
    await promisify(server.close.bind(server))();
    return true;
  } catch {
    return false;
  }
}

/** Returns free ports, none of which is given out twice. */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (!ports.has(port) && (await isFree(port))) ports.add(port);
  }
  return [...ports];
}

/**
 * Sends one request and resolves to its status and body, to `cut` if the connection ended without a complete answer, or
 * to `none` after the timeout.
 */
export function call({ port, method, path, headers = {}, body = '', agent, timeoutMilliseconds = 5_000 }) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    let timer = null;
    const settle = (outcome) => {
      clearTimeout(timer);
      resolve({ ...outcome, milliseconds: Math.round(performance.now() - startedAt) });
    };
    const content = Buffer.from(body);
    const request = sendRequest(
      {
        host: LOOPBACK,
        port,
        method,
        path,
        agent,
        headers: { ...headers, ...(content.length > 0 ? { 'content-length': content.length } : {}) },
      },
      (response) => {
        readAll(response).then(
          (received) => settle({ kind: 'answered', status: response.statusCode, body: parseJson(received) }),
          () => settle({ kind: 'cut' }),
        );
      },
    );
    timer = setTimeout(() => {
      settle({ kind: 'none' });
      request.destroy();
    }, timeoutMilliseconds);
    request.on('error', (error) => settle({ kind: error.code === 'ECONNREFUSED' ? 'unreached' : 'cut' }));
    request.end(content);
  });
}
