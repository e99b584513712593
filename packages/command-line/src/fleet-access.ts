/** Sends commands to the fleet through the log. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FleetState, Verdict } from '@baobabdeck/core';
import { fail, failureOf, succeed, type Result } from '@baobabdeck/errors';
import { readFleet } from '@baobabdeck/fold-reader';
import type { Platform } from '@baobabdeck/platform';
import type { LogRecord, RecordBody } from '@baobabdeck/types';

/** Appends that are tried before the outcome of a command is given up as unknown. */
const APPEND_TRIES = 5;

const RETRY_PAUSE_MILLISECONDS = 200;

/** A command that the fold accepted, and the fleet after it. */
export interface Accepted {
  readonly fleet: FleetState;
  readonly verdict: Verdict;
  readonly commandId: string;
}

async function appendSurely(platform: Platform, record: LogRecord): Promise<Result<null>> {
  let detail = '';
  for (let attempt = 0; attempt < APPEND_TRIES; attempt += 1) {
    // An append whose answer was lost is sent again under the same id: the fold ignores the second.
    const result = await platform.append('fleet', record);
    if (result.kind === 'stored') return succeed(null);
    detail = result.detail;
    await sleep(RETRY_PAUSE_MILLISECONDS);
  }
  return fail('logUnreachable', `${detail}; repeat the command with --command-id ${record.id}`);
}

/** Sends a command and waits for the verdict of the fold. The same id a second time has no second effect. */
export async function sendCommand(
  platform: Platform,
  body: RecordBody,
  nextOffset: number,
  commandId: string = randomUUID(),
): Promise<Result<Accepted>> {
  const record: LogRecord = {
    id: commandId,
    issuer: 'operator',
    issuedAt: new Date(),
    decidedAtOffset: nextOffset,
    body,
  };
  const appended = await appendSurely(platform, record);
  if (!appended.ok) return appended;
  const fleet = await readFleet(platform);
  if (!fleet.ok) return fleet;
  const verdict = fleet.value.verdicts.get(commandId);
  if (verdict === undefined) {
    return fail('outcomeUnknown', `Repeat the command with --command-id ${commandId}`);
  }
  if (verdict.accepted || verdict.result === null) return succeed({ fleet: fleet.value, verdict, commandId });
  return { ok: false, failure: failureOf(verdict.result, verdict.detail) };
}
