/** A caller's body that can be sent to one target after another, as long as it is small. */
import type { IncomingMessage } from 'node:http';

/** The body of one request. */
export interface BodySource {
  /** Whether the whole body can be sent once more. */
  readonly replayable: () => boolean;
  /** The body from its first byte; only one sender reads at a time. */
  readonly open: () => AsyncIterable<Uint8Array> | null;
}

/** Whether a request has a body. */
export function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  return request.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** The absent body of a request without one. */
export const NO_BODY: BodySource = { replayable: () => true, open: () => null };

/** A body that was read as a whole. */
export function bodyOfBytes(bytes: Uint8Array): BodySource {
  async function* send(): AsyncGenerator<Uint8Array> {
    yield bytes;
  }
  return { replayable: () => true, open: () => (bytes.length === 0 ? null : send()) };
}

/**
 * A body that is read while it is sent. Up to `limit` bytes are kept for another attempt; of a longer body
 * nothing is kept that was sent.
 */
export function streamBody(request: IncomingMessage, limit: number): BodySource {
  const input = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const kept: Buffer[] = [];
  let keptBytes = 0;
  let replayable = true;
  let ended = false;
  let pull: Promise<Buffer | null> | null = null;

  const keep = (chunk: Buffer): void => {
    keptBytes += chunk.length;
    if (keptBytes > limit) {
      replayable = false;
      kept.length = 0;
    }
    if (replayable) kept.push(chunk);
  };
  const pullNext = async (): Promise<Buffer | null> => {
    const { value, done } = await input.next();
    pull = null;
    if (done) {
      ended = true;
      return null;
    }
    keep(value);
    return value;
  };
  async function* send(): AsyncGenerator<Uint8Array> {
    let position = 0;
    for (;;) {
      const known = replayable ? kept[position] : undefined;
      if (known !== undefined) {
        position += 1;
        yield known;
      } else if (ended) {
        return;
      } else {
        pull ??= pullNext();
        const chunk = await pull;
        if (!replayable && chunk !== null) yield chunk;
      }
    }
  }
  return { replayable: () => replayable, open: send };
}

/** Reads a whole body of at most `limit` bytes; null for a longer one. Rejects when the caller breaks off. */
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
