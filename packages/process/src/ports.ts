/** Distinguishes a port in use from other listen errors, so that the operator gets an actionable message. */
import { failureOf, type Failure } from '@baobabdeck/errors';

/** Returns the `portInUse` failure for an EADDRINUSE error, or null for any other error. */
export function portFailure(error: unknown, ip: string): Failure | null {
  if (!(error instanceof Error) || !('code' in error) || error.code !== 'EADDRINUSE') return null;
  const port = 'port' in error ? String(error.port) : 'unknown';
  return failureOf(
    'portInUse',
    `Expected ${ip}:${port} to be free; end what listens there or set another port`,
  );
}
