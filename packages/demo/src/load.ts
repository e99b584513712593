/** Callers of both users: short questions, orders with a key sent twice, and a few long rebuilds. */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';

/** What the callers saw. */
export interface LoadReport {
  /** Answers by their status or, for refusals, their result code. */
  readonly results: Map<string, number>;
  /** Milliseconds of short requests beyond the work itself. */
  readonly shortWaits: number[];
  /** Pieces of work that may run once. */
  readonly orders: Set<string>;
}

/** What the callers call. */
export interface LoadOptions {
  readonly gatewayUrls: () => readonly string[];
  readonly services: readonly string[];
  readonly callers: number;
  readonly isOver: () => boolean;
}

const SHORT_MILLISECONDS = 25;
const LONG_MILLISECONDS = 1_500;
const LONG_SHARE = 0.02;
const ORDER_SHARE = 0.15;
const PAUSE_MILLISECONDS = 10;

function pick<T>(items: readonly T[]): T {
  return items[Math.floor(Math.random() * items.length)] as T;
}

interface Call {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
}

async function callOnce(agent: Agent, { url, method, headers }: Call, report: LoadReport): Promise<void> {
  let result: string;
  try {
    const response = await request(url, {
      method,
      headers,
      dispatcher: agent,
      body: method === 'POST' ? 'an order' : null,
    });
    await response.body.dump();
    result = String(response.headers['baobabdeck-result'] ?? response.statusCode);
  } catch {
    result = 'broken';
  }
  report.results.set(result, (report.results.get(result) ?? 0) + 1);
}

async function sendShort(agent: Agent, base: string, report: LoadReport): Promise<void> {
  const startedAt = performance.now();
  await callOnce(
    agent,
    { url: `${base}/short?ms=${SHORT_MILLISECONDS}`, method: 'GET', headers: {} },
    report,
  );
  report.shortWaits.push(performance.now() - startedAt - SHORT_MILLISECONDS);
}

async function sendOrderTwice(
  agent: Agent,
  urls: readonly string[],
  service: string,
  report: LoadReport,
): Promise<void> {
  const workId = randomUUID();
  report.orders.add(workId);
  const headers = { 'idempotency-key': workId, 'x-work-id': workId, 'baobabdeck-caller': 'demo' };
  const call = (): Promise<void> =>
    callOnce(
      agent,
      { url: `${pick(urls)}/${service}/order?ms=${SHORT_MILLISECONDS}`, method: 'POST', headers },
      report,
    );
  await Promise.all([call(), call()]);
}

async function runCaller(agent: Agent, options: LoadOptions, report: LoadReport): Promise<void> {
  while (!options.isOver()) {
    const urls = options.gatewayUrls();
    const service = pick(options.services);
    const draw = Math.random();
    if (draw < LONG_SHARE) {
      const headers = { 'baobabdeck-class': 'long' };
      await callOnce(
        agent,
        { url: `${pick(urls)}/${service}/rebuild?ms=${LONG_MILLISECONDS}`, method: 'GET', headers },
        report,
      );
    } else if (draw < LONG_SHARE + ORDER_SHARE) {
      await sendOrderTwice(agent, urls, service, report);
    } else {
      await sendShort(agent, `${pick(urls)}/${service}`, report);
    }
    await sleep(PAUSE_MILLISECONDS);
  }
}

/** Calls until it is over. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const agent = new Agent({ connections: options.callers });
  const report: LoadReport = { results: new Map(), shortWaits: [], orders: new Set() };
  await Promise.all(Array.from({ length: options.callers }, () => runCaller(agent, options, report)));
  await agent.close();
  return report;
}
