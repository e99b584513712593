/** Validates the shape of peer messages before they reach the reducer. */
import type { PeerMessage } from '@baobabdeck/types';

type FieldKind = 'string' | 'number' | 'object' | 'array' | 'object-or-null';

const SHAPES: Readonly<Record<PeerMessage['kind'], Readonly<Record<string, FieldKind>>>> = {
  heartbeat: {
    sequence: 'number',
    echo: 'number',
    fleetOffset: 'number',
    configurationVersion: 'number',
    poolLoads: 'array',
    drainingInFlight: 'array',
  },
  'slot-requested': { request: 'object' },
  'slot-cancelled': { pool: 'string', slotRequestId: 'string' },
  'slot-granted': { pool: 'string', slotRequestId: 'string', target: 'object', workClass: 'string' },
  'slot-refused': { pool: 'string', slotRequestId: 'string', reason: 'string' },
  'slot-released': { pool: 'string', slotRequestId: 'string', outcome: 'string', runMilliseconds: 'number' },
  'holdings-requested': { pool: 'string', viewOffset: 'number' },
  'holdings-reported': { pool: 'string', viewOffset: 'number', holdings: 'array', unsettled: 'array' },
  'answers-handed-over': { answers: 'array' },
  'answer-requested': { keyHash: 'string', requestId: 'string' },
  'answer-found': { requestId: 'string', answer: 'object-or-null' },
  'records-pushed': { stream: 'string', records: 'array' },
};

function hasKind(value: unknown, kind: FieldKind): boolean {
  if (kind === 'array') return Array.isArray(value);
  if (kind === 'object-or-null') return value === null || typeof value === 'object';
  if (kind === 'object') return typeof value === 'object' && value !== null && !Array.isArray(value);
  return typeof value === kind && (kind !== 'number' || Number.isFinite(value));
}

/** Returns whether the content has the shape of a message that this version knows. */
export function isPeerMessage(content: unknown): content is PeerMessage {
  if (typeof content !== 'object' || content === null) return false;
  const fields = content as Readonly<Record<string, unknown>>;
  const { kind } = fields;
  if (typeof kind !== 'string' || !Object.hasOwn(SHAPES, kind)) return false;
  const shape = SHAPES[kind as PeerMessage['kind']];
  return Object.entries(shape).every(([name, fieldKind]) => hasKind(fields[name], fieldKind));
}
