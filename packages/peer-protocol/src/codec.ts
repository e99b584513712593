/** Encodes frames between processes: a length of four bytes, big-endian, then CBOR. */
import { addExtension, Decoder, Encoder } from 'cbor-x';

/** Version of the protocol; a peer with another version is refused. */
export const PROTOCOL_VERSION = 1;

/** Maximum size of a frame's payload in bytes. */
export const MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

const LENGTH_BYTES = 4;

/** CBOR tag for dates in whole milliseconds; the standard tag stores seconds and would round them. */
const DATE_TAG = 40_500;

addExtension({
  Class: Date,
  tag: DATE_TAG,
  encode: (instant: Date, encode: (data: unknown) => Uint8Array) => encode(instant.getTime()),
  decode: (milliseconds: unknown) => new Date(Number(milliseconds)),
});

const OPTIONS = { useRecords: false, mapsAsObjects: true, structuredClone: false } as const;
const encoder = new Encoder(OPTIONS);
const decoder = new Decoder(OPTIONS);

/** Reason why bytes cannot be decoded as a frame. */
export type FrameFault = 'too-long' | 'garbage';

/** Encodes one frame. */
export function encodeFrame(content: unknown): Buffer {
  const payload = encoder.encode(content);
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  payload.copy(frame, LENGTH_BYTES);
  return frame;
}

/** Decoded contents of complete frames, and the fault after which the connection must be closed, if any. */
export interface Decoded {
  readonly contents: readonly unknown[];
  readonly fault: FrameFault | null;
}

function decodePayload(payload: Buffer): { readonly content: unknown } | null {
  try {
    return { content: decoder.decode(payload) as unknown };
  } catch {
    return null;
  }
}

/** Creates a decoder that buffers the bytes of one connection and returns the contents of complete frames. */
export function createFrameReader(maximumBytes: number = MAXIMUM_FRAME_BYTES): (chunk: Buffer) => Decoded {
  let rest: Buffer = Buffer.alloc(0);
  return (chunk) => {
    rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
    const contents: unknown[] = [];
    while (rest.length >= LENGTH_BYTES) {
      const length = rest.readUInt32BE(0);
      if (length > maximumBytes) return { contents, fault: 'too-long' };
      if (rest.length < LENGTH_BYTES + length) break;
      const decoded = decodePayload(rest.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      if (decoded === null) return { contents, fault: 'garbage' };
      contents.push(decoded.content);
      rest = rest.subarray(LENGTH_BYTES + length);
    }
    return { contents, fault: null };
  };
}
