/** Callers whose every request is remembered, to be judged by what the targets counted. */
import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import type { LocalSystem } from './system.js';

/** One request and how it ended. */
export interface SentRequest {
  readonly workId: string;
  readonly repeatable: boolean;
  /** Null when the message broke off. */
  readonly status: number | null;
  /** The result code of an answer of the system's own; null for one of a target. */
  readonly code: number | null;
  readonly ran: string | null;
  readonly body: string;
}

/** What to send. */
export interface SendOptions {
  readonly url: string;
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  readonly workId?: string;
  readonly signal?: AbortSignal;
}

const agent = new Agent({ connections: 256 });

function readProblem(text: string): { readonly ran?: string } {
  try {
    return JSON.parse(text) as { readonly ran?: string };
  } catch {
    return {};
  }
}

/** Sends one request and waits for its end. */
export async function send({
  url,
  method = 'GET',
  headers = {},
  workId = randomUUID(),
  signal,
}: SendOptions): Promise<SentRequest> {
  const repeatable = method === 'GET' && headers['baobabdeck-repeatable'] !== 'no';
  try {
    const response = await request(url, {
      method,
      dispatcher: agent,
      headers: { 'x-work-id': workId, ...headers },
      body: method === 'POST' ? 'an order' : null,
      ...(signal === undefined ? {} : { signal }),
    });
    const body = await response.body.text();
    const code = response.headers['baobabdeck-result'];
    const ran = code === undefined ? null : (readProblem(body).ran ?? null);
    return {
      workId,
      repeatable,
      status: response.statusCode,
      code: code === undefined ? null : Number(code),
      ran,
      body,
    };
  } catch {
    return { workId, repeatable, status: null, code: null, ran: null, body: '' };
  }
}

/** How often each piece of work started at any target. */
export function countRuns(system: LocalSystem): ReadonlyMap<string, number> {
  const runs = new Map<string, number>();
  system.targets.forEach((target) => {
    Object.entries(target.report().runs).forEach(([workId, count]) =>
      runs.set(workId, (runs.get(workId) ?? 0) + count),
    );
  });
  return runs;
}

/** Everything that callers were told and that the targets know better. */
export function findUntruths(system: LocalSystem, sent: readonly SentRequest[]): readonly string[] {
  const runs = countRuns(system);
  const byWork = new Map<string, SentRequest[]>();
  sent.forEach((one) => byWork.set(one.workId, [...(byWork.get(one.workId) ?? []), one]));
  return [...byWork].flatMap(([workId, requests]) => {
    const count = runs.get(workId) ?? 0;
    const faults: string[] = [];
    if (count > 1 && requests.some((one) => !one.repeatable)) {
      faults.push(`${workId} may run once and ran ${count} times`);
    }
    if (count > 0 && requests.every((one) => one.ran === 'no')) {
      faults.push(`${workId} was refused as not run and ran`);
    }
    if (count === 0 && requests.some((one) => one.ran === 'yes' || one.status === 200)) {
      faults.push(`${workId} was answered and did not run`);
    }
    return faults;
  });
}

/** Violations that the programs reported of themselves. */
export function findReportedViolations(system: LocalSystem): readonly string[] {
  const VIOLATION_EVENT = 901;
  const UNEXPECTED_EVENT = 902;
  return [...system.gateways, ...system.controllers].flatMap((launched) =>
    [...launched.events(VIOLATION_EVENT), ...launched.events(UNEXPECTED_EVENT)].map(
      (event) => `${launched.name}: ${JSON.stringify(event)}`,
    ),
  );
}

/** Hosts that got more work at once than they have slots, or lost work to a planned reboot. */
export function findHostFaults(system: LocalSystem): readonly string[] {
  return [...system.targets.values()].flatMap((target) => {
    const { hostId, queued, cutByReboot } = target.report();
    return [
      ...(queued > 0 ? [`${hostId} got ${queued} pieces of work over its slots`] : []),
      ...(cutByReboot > 0 ? [`a reboot of ${hostId} cut off ${cutByReboot} pieces of work`] : []),
    ];
  });
}
