/** Stand-in for the platform's store: log, keyed topics and groups, as PROTOCOL.md of the users tells them. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { createGroups } from './groups.mjs';
import { createPartition, frameRecord, keyedRecord, splitRecords } from './log.mjs';

const ANSWER_MS = 4;
const APPEND_MS = 2;
const OFFSET_BYTES = 8;
const NEWEST_PER_PAGE = 500;
const LONGEST_WAIT_MS = 30_000;

/** Time for which watches hear nothing before the history is dropped. */
const SILENT_BEFORE_COMPACTION_MS = 1_000;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function json(status, body) {
  return { status, body: Buffer.from(JSON.stringify(body)) };
}

/** Starts the store; each topic has `parts` partitions. */
export async function startStore({ parts }) {
  const partitions = new Map();
  const lastAppend = new Map();
  const groups = createGroups(parts, () => performance.now());
  const watches = new Set();
  let areWatchesSilent = false;

  const partitionOf = (topic, part) => {
    const id = `${topic}/${part}`;
    const known = partitions.get(id);
    if (known !== undefined) return known;
    const created = createPartition(topic.startsWith('keyed.'));
    partitions.set(id, created);
    return created;
  };

  /** Appends to one partition take their turns. */
  const append = async (query, body) => {
    const [topic, part] = [query.get('topic'), query.get('part')];
    if (topic === 'keyed.op' || topic === 'keyed.servers') return json(403, {});
    const id = `${topic}/${part}`;
    const turn = (lastAppend.get(id) ?? Promise.resolve()).then(() => sleep(APPEND_MS));
    lastAppend.set(id, turn);
    await turn;
    const numberOf = (name) => (query.has(name) ? Number(query.get(name)) : null);
    const { status, body: answer } = partitionOf(topic, part).append(splitRecords(body), {
      at: numberOf('at'),
      producer: query.get('producer'),
      epoch: numberOf('epoch'),
      sequence: numberOf('sequence'),
    });
    return json(status, answer);
  };

  const page = (partition, from) => {
    if (from < partition.first()) return json(410, { first: partition.first() });
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(partition.end()));
    head.writeBigUInt64BE(BigInt(partition.first()), OFFSET_BYTES);
    return { status: 200, body: Buffer.concat([head, ...partition.readFrom(from).map(frameRecord)]) };
  };

  const read = async (query) => {
    const partition = partitionOf(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    const waitMs = Math.min(LONGEST_WAIT_MS, Number(query.get('waitMs') ?? 0));
    if (waitMs === 0 || (partition.end() > from && !areWatchesSilent)) return page(partition, from);
    return new Promise((resolve) => {
      const watch = { finish: () => undefined, cut: () => undefined };
      const settle = (answer) => {
        watches.delete(watch);
        clearTimeout(watch.timer);
        watch.stop();
        resolve(answer);
      };
      watch.finish = () => {
        if (!areWatchesSilent) settle(page(partition, from));
      };
      watch.cut = () => settle('reset');
      watch.timer = setTimeout(watch.finish, waitMs);
      watch.stop = partition.onAppended(watch.finish);
      watches.add(watch);
    });
  };

  const newest = (query) => {
    const partition = partitionOf(query.get('topic'), query.get('part'));
    const startAfter = query.get('after');
    const sorted = partition.newest().sort((left, right) => (left.key < right.key ? -1 : 1));
    const rest = startAfter === null ? sorted : sorted.filter(({ key }) => key > startAfter);
    const items = rest
      .slice(0, NEWEST_PER_PAGE)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    return json(200, { items, hasMore: rest.length > NEWEST_PER_PAGE, end: partition.end() });
  };

  const answer = async (path, query, body) => {
    if (path === '/log-append') return append(query, body);
    if (path === '/log-read') return read(query);
    if (path === '/log-newest') return newest(query);
    if (path === '/log-join') return json(200, groups.join(JSON.parse(body)));
    if (path === '/log-owners') return json(200, { owners: groups.owners(query.get('group')) });
    if (path === '/log-leave') groups.leave(JSON.parse(body));
    return json(200, {});
  };

  const send = (request, response, outcome) => {
    if (outcome === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    response.writeHead(outcome.status);
    response.end(outcome.body);
  };

  const handle = async (request, response) => {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const outcome = await answer(pathname, searchParams, body);
    await sleep(ANSWER_MS);
    send(request, response, outcome);
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a record as the operator or a worker does. */
    put: (topic, key, value) => {
      const bytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      partitionOf(topic, 0).append([keyedRecord(key, bytes)], { at: null, producer: null });
    },
    newest: (topic, part, key) =>
      partitionOf(topic, part)
        .newest()
        .find((record) => record.key === key),
    end: (topic, part) => partitionOf(topic, part).end(),
    partitionIds: () => [...partitions.keys()],
    /**
     * Forgets the history: watches hear nothing for a second while changes are made, then all but the newest record of
     * each key is dropped, and the watches are cut.
     */
    compact: async (duringSilence = () => undefined) => {
      areWatchesSilent = true;
      await Promise.all([sleep(SILENT_BEFORE_COMPACTION_MS), duringSilence()]);
      partitions.forEach((partition) => partition.forgetHistory());
      areWatchesSilent = false;
      [...watches].forEach((watch) => watch.cut());
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
