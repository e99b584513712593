/** Connection to one peer that reconnects after a failure. Messages sent while it is down are dropped. */
import { connect, type Socket } from 'node:net';
import type { PeerMessage } from '@baobabdeck/types';
import { encodeFrame } from './codec.js';
import type { Hello } from './hello.js';

/** Maximum bytes buffered for a peer that does not read; beyond them the connection is reopened. */
const MAXIMUM_BUFFERED_BYTES = 32 * 1024 * 1024;

const FIRST_RETRY_MILLISECONDS = 50;
const LONGEST_RETRY_MILLISECONDS = 2_000;
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;

/** An outgoing link. */
export interface PeerLink {
  readonly address: string;
  readonly send: (message: PeerMessage) => void;
  readonly close: () => void;
}

/** Splits an address such as `127.0.0.1:7000` or `[::1]:7000` into IP address and port. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) };
}

/** Opens a link and keeps it open. `onLinked` is called whenever a connection is established. */
export function openLink(address: string, hello: Hello, onLinked: () => void): PeerLink {
  let socket: Socket | null = null;
  let linked = false;
  let closed = false;
  let retryMilliseconds = FIRST_RETRY_MILLISECONDS;
  let timer: NodeJS.Timeout | null = null;

  const scheduleRetry = (): void => {
    if (closed) return;
    timer = setTimeout(open, retryMilliseconds);
    timer.unref();
    retryMilliseconds = Math.min(LONGEST_RETRY_MILLISECONDS, retryMilliseconds * 2);
  };
  function open(): void {
    const { host, port } = splitAddress(address);
    const opened = connect({ host, port, noDelay: true, timeout: CONNECT_TIMEOUT_MILLISECONDS });
    socket = opened;
    opened.once('connect', () => {
      opened.setTimeout(0);
      linked = true;
      retryMilliseconds = FIRST_RETRY_MILLISECONDS;
      opened.write(encodeFrame(hello));
      onLinked();
    });
    opened.on('timeout', () => opened.destroy());
    opened.on('error', () => opened.destroy());
    opened.on('data', () => undefined);
    opened.once('close', () => {
      linked = false;
      scheduleRetry();
    });
  }
  open();
  return {
    address,
    send: (message) => {
      if (socket === null || !linked) return;
      if (socket.writableLength > MAXIMUM_BUFFERED_BYTES) socket.destroy();
      else socket.write(encodeFrame(message));
    },
    close: () => {
      closed = true;
      if (timer !== null) clearTimeout(timer);
      socket?.end();
      setTimeout(() => socket?.destroy(), FIRST_RETRY_MILLISECONDS).unref();
    },
  };
}
