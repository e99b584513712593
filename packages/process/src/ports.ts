/** Tells a taken port from other errors, for a message that an operator can act on. */
import { failureOf, type Failure } from '@baobabdeck/errors';

/** The failure behind an error at listening, or null for another error. */
export function portFailure(error: unknown, ip: string): Failure | null {
  if (!(error instanceof Error) || !('code' in error) || error.code !== 'EADDRINUSE') return null;
  const port = 'port' in error ? String(error.port) : 'unknown';
  return failureOf(
    'portInUse',
    `Expected ${ip}:${port} to be free; end what listens there or set another port`,
  );
}
