/** Small helpers for HTTP servers and clients on loopback addresses. */
import { Buffer } from 'node:buffer';
import { Agent, request as sendRequest } from 'node:http';
import { performance } from 'node:perf_hooks';

const LOOPBACK = '127.0.0.1';

/** Listens on a port of the loopback address, by default a free one, and returns the address. */
export async function listen(server, wantedPort = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(wantedPort, LOOPBACK, resolve);
  });
  Object.assign(server, { keepAliveTimeout: 120_000 });
  return `${LOOPBACK}:${server.address().port}`;
}

/** Reads a whole request body. */
export async function readBody(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Answers with a JSON body. */
export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** An agent that keeps one connection open, as a requester with an open channel does. */
export function openChannel() {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

/** Sends one request; resolves with its status and JSON body, or with `kind` 'cut', 'refused' or 'deadline'. */
export function call(
  address,
  { method, path, host, body = null, deadlineMs, agent = undefined, headers = {} },
) {
  const [ip, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (outcome) => resolve({ ...outcome, milliseconds: performance.now() - sentAt });
    const text = body === null ? null : JSON.stringify(body);
    const request = sendRequest(
      {
        host: ip,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          host,
          deadline: String(deadlineMs),
          ...(text === null
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
          ...headers,
        },
      },
      (response) => {
        readBody(response).then(
          (bytes) => {
            if (!response.complete) {
              finish({ kind: 'cut' });
              return;
            }
            let content = null;
            try {
              content = JSON.parse(bytes.toString('utf8'));
            } catch {
              content = null;
            }
            finish({ kind: 'answered', status: response.statusCode, body: content });
          },
          () => finish({ kind: 'cut' }),
        );
      },
    );
    request.setTimeout(deadlineMs, () => {
      finish({ kind: 'deadline' });
      request.destroy();
    });
    request.on('error', (error) =>
      finish({ kind: error.code === 'ECONNREFUSED' ? 'refused' : 'cut', detail: error.code }),
    );
    if (text !== null) request.write(text);
    request.end();
  });
}
