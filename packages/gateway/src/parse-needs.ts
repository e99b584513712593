/** Parses the `baobabdeck-needs` header. */
import { fail, succeed, type Result } from '@baobabdeck/errors';
import type { CapabilityNeed } from '@baobabdeck/types';

/** Maximum number of needs in one request. */
const MAXIMUM_NEEDS = 16;

const NEED_PATTERN = /^([a-z][a-z0-9-]*)(?:>=(\d{1,9}))?$/;

const QUANTITIES: ReadonlySet<string> = new Set(['cores', 'memory-gb', 'gpu']);

function parseNeed(text: string): CapabilityNeed | null {
  const match = NEED_PATTERN.exec(text);
  if (match === null) return null;
  const [, name = '', number] = match;
  const minimum = Number(number ?? 1);
  if (QUANTITIES.has(name)) return { kind: 'quantity', name: name as 'cores' | 'memory-gb' | 'gpu', minimum };
  return { kind: 'feature', name, minimumVersion: minimum };
}

/** Parses a list of needs such as `gpu, memory-gb>=32, soundboard`. Fails with `malformedHeader`. */
export function parseNeeds(header: string | undefined): Result<readonly CapabilityNeed[]> {
  if (header === undefined || header.trim() === '') return succeed([]);
  const parts = header.split(',').map((part) => part.trim());
  if (parts.length > MAXIMUM_NEEDS) {
    return fail(
      'malformedHeader',
      `baobabdeck-needs: expected at most ${MAXIMUM_NEEDS} needs, found ${parts.length}`,
    );
  }
  const needs = parts.map(parseNeed);
  const malformed = parts.find((_, index) => needs[index] === null);
  if (malformed !== undefined) {
    return fail(
      'malformedHeader',
      `baobabdeck-needs: expected names as 'gpu' or 'memory-gb>=32', found '${malformed}'`,
    );
  }
  return succeed(needs.filter((need): need is CapabilityNeed => need !== null));
}
