/** Request bodies that can be sent again to another target if they are small enough to buffer. */
import type { IncomingMessage } from 'node:http';

/** Body of a request, opened once for each attempt. */
export interface BodySource {
  /** Returns whether the body can be sent again from its first byte. */
  readonly replayable: () => boolean;
  /** Returns the body from its first byte, or null if it is empty. Only one attempt may read at a time. */
  readonly open: () => AsyncIterable<Uint8Array> | null;
}

/** Returns whether a request has a body. */
export function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Body source of a request without a body. */
export const NO_BODY: BodySource = { replayable: () => true, open: () => null };

/** Creates a body source from a body that was read completely. */
export function createBufferedBody(bytes: Uint8Array): BodySource {
  async function* send(): AsyncGenerator<Uint8Array> {
    yield bytes;
  }
  return { replayable: () => true, open: () => (bytes.length === 0 ? null : send()) };
}

/**
 * Creates a body source that reads from the caller while it sends. Up to `limit` bytes are buffered for another
 * attempt. A longer body is not replayable: its buffer is dropped.
 */
export function createStreamingBody(request: IncomingMessage, limit: number): BodySource {
  const input = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const bufferedChunks: Buffer[] = [];
  let receivedBytes = 0;
  let replayable = true;
  let ended = false;
  let pendingRead: Promise<Buffer | null> | null = null;

  const bufferChunk = (chunk: Buffer): void => {
    receivedBytes += chunk.length;
    if (receivedBytes > limit) {
      replayable = false;
      bufferedChunks.length = 0;
    }
    if (replayable) bufferedChunks.push(chunk);
  };
  const readNextChunk = async (): Promise<Buffer | null> => {
    const { value, done } = await input.next();
    pendingRead = null;
    if (done) {
      ended = true;
      return null;
    }
    bufferChunk(value);
    return value;
  };
  async function* send(): AsyncGenerator<Uint8Array> {
    let position = 0;
    for (;;) {
      const bufferedChunk = replayable ? bufferedChunks[position] : undefined;
      if (bufferedChunk !== undefined) {
        position += 1;
        yield bufferedChunk;
      } else if (ended) {
        return;
      } else {
        pendingRead ??= readNextChunk();
        const chunk = await pendingRead;
        if (!replayable && chunk !== null) yield chunk;
      }
    }
  }
  return { replayable: () => replayable, open: send };
}

/** Reads a complete body, or returns null if it exceeds `limit` bytes. Rejects if the caller disconnects. */
export async function readWholeBody(request: IncomingMessage, limit: number): Promise<Buffer | null> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
    if (bytes > limit) return null;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}
