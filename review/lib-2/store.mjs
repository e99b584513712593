/** Stand-in of the platform's store: a log with keyed topics, producers and groups, as PROTOCOL.md describes it. */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { listen, parseJson, readAll, reply } from './http.mjs';

const ANSWER_MILLISECONDS = 4;
const PARTITIONS = 12;
const ITEMS_PER_PAGE = 500;
const REPEATS_KEPT = 5;
const CHECK_MILLISECONDS = 50;

function readFrames(body) {
  const records = [];
  let position = 0;
  while (position + 4 <= body.length) {
    const length = body.readUInt32BE(position);
    records.push(body.subarray(position + 4, position + 4 + length));
    position += 4 + length;
  }
  return records;
}

function writeFrame(record) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function keyOf(record) {
  return record.subarray(1, 1 + record[0]).toString('utf8');
}

function valueOf(record) {
  return record.subarray(1 + record[0]);
}

function createPartition() {
  const records = [];
  const newest = new Map();
  const producers = new Map();
  const waiting = new Set();

  const add = (added) => {
    const offset = records.length;
    added.forEach((record, index) => {
      records.push(record);
      const key = keyOf(record);
      if (valueOf(record).length === 0) newest.delete(key);
      else newest.set(key, { value: valueOf(record), offset: offset + index });
    });
    if (added.length > 0) [...waiting].forEach((wake) => wake());
    return { status: 200, body: { offset, end: records.length } };
  };

  const addOfProducer = (added, { name, epoch, sequence }) => {
    const known = producers.get(name) ?? { epoch: -1, sequence: null, answers: new Map() };
    if (epoch < known.epoch) return { status: 409, body: { reason: 'fenced' } };
    const isNew = epoch > known.epoch;
    const repeated = isNew ? undefined : known.answers.get(sequence);
    if (repeated !== undefined) return repeated;
    if (!isNew && sequence !== known.sequence + 1) {
      return { status: 409, body: { reason: 'seq', sequence: known.sequence + 1 } };
    }
    const answer = add(added);
    const answers = new Map([...(isNew ? [] : known.answers), [sequence, answer]].slice(-REPEATS_KEPT));
    producers.set(name, { epoch, sequence, answers });
    return answer;
  };

  return { records, newest, waiting, add, addOfProducer };
}

/** Group of members among which the partitions of its topics are distributed evenly. */
function createGroup() {
  const members = new Map();
  const holders = new Map();
  let generation = 0;
  let assignment = new Map();

  const partitionIds = () => {
    const topics = [...new Set([...members.values()].flatMap((member) => member.topics))].sort();
    return topics.flatMap((topic) => Array.from({ length: PARTITIONS }, (_, part) => `${topic}/${part}`));
  };

  /** Deals the partitions anew; a partition stays with its member while that has no more than its share. */
  const deal = () => {
    generation += 1;
    const ids = partitionIds();
    const names = [...members.keys()].sort();
    const next = new Map();
    const counts = new Map(names.map((name) => [name, 0]));
    const most = Math.ceil(ids.length / Math.max(1, names.length));
    for (const id of ids) {
      const kept = assignment.get(id);
      if (counts.has(kept) && counts.get(kept) < most) {
        next.set(id, kept);
        counts.set(kept, counts.get(kept) + 1);
      }
    }
    for (const id of ids.filter((one) => !next.has(one))) {
      const [name] = [...counts].sort((left, right) => left[1] - right[1])[0] ?? [];
      if (name !== undefined) {
        next.set(id, name);
        counts.set(name, counts.get(name) + 1);
      }
    }
    assignment = next;
  };

  const remove = (name) => {
    members.delete(name);
    [...holders].filter(([, holder]) => holder === name).forEach(([id]) => holders.delete(id));
    deal();
  };

  const expire = () => {
    const now = performance.now();
    [...members].filter(([, { until }]) => until < now).forEach(([name]) => remove(name));
  };

  const join = ({ member, topics, ttlMs, generation: seen }) => {
    expire();
    const known = members.get(member);
    const isChanged = known === undefined || known.topics.join() !== topics.join();
    members.set(member, { topics, until: performance.now() + ttlMs });
    if (isChanged) deal();
    // A member that names the present generation has given up what it no longer has.
    if (seen >= generation) {
      [...holders]
        .filter(([id, holder]) => holder === member && assignment.get(id) !== member)
        .forEach(([id]) => holders.delete(id));
    }
    const parts = [];
    for (const [id, name] of assignment) {
      if (name === member && (holders.get(id) ?? member) === member) {
        holders.set(id, member);
        const slash = id.lastIndexOf('/');
        parts.push([id.slice(0, slash), Number(id.slice(slash + 1)), 0]);
      }
    }
    return { generation, ttlMs, parts };
  };

  const owners = () => {
    expire();
    return [...holders].map(([id, name]) => {
      const slash = id.lastIndexOf('/');
      return [id.slice(0, slash), Number(id.slice(slash + 1)), name, 0];
    });
  };
  return { join, leave: ({ member }) => members.has(member) && remove(member), owners };
}

/** Starts the store. The operator and the workers write to it in this process with `put`. */
export async function startStore() {
  const partitions = new Map();
  const groups = new Map();
  const partitionOf = (topic, part) => {
    const id = `${topic}/${part}`;
    if (!partitions.has(id)) partitions.set(id, createPartition());
    return partitions.get(id);
  };
  const groupOf = (name) => {
    if (!groups.has(name)) groups.set(name, createGroup());
    return groups.get(name);
  };

  const append = (query, body) => {
    const partition = partitionOf(query.get('topic'), query.get('part'));
    const at = query.get('at');
    const end = partition.records.length;
    if (at !== null && Number(at) !== end) return { status: 412, body: { end } };
    const records = readFrames(body);
    const name = query.get('producer');
    if (name === null) return partition.add(records);
    return partition.addOfProducer(records, {
      name,
      epoch: Number(query.get('epoch')),
      sequence: Number(query.get('sequence')),
    });
  };

  const read = async (query, request, response) => {
    const partition = partitionOf(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    const until = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    let isOpen = true;
    request.on('close', () => {
      isOpen = request.complete && !response.destroyed;
    });
    while (partition.records.length <= from && performance.now() < until && isOpen) {
      await new Promise((resolve) => {
        const wake = () => {
          partition.waiting.delete(wake);
          resolve();
        };
        partition.waiting.add(wake);
        setTimeout(wake, Math.min(CHECK_MILLISECONDS, Math.max(0, until - performance.now())));
      });
    }
    if (response.destroyed) return;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    response.writeHead(200);
    response.end(Buffer.concat([head, ...partition.records.slice(from).map(writeFrame)]));
  };

  const newest = (query) => {
    const { records, newest: known } = partitionOf(query.get('topic'), query.get('part'));
    const after = query.get('after');
    const sorted = [...known].sort(([left], [right]) => (left < right ? -1 : 1));
    const rest = sorted.filter(([key]) => after === null || key > after);
    const items = rest.slice(0, ITEMS_PER_PAGE).map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    return { items, hasMore: rest.length > items.length, end: records.length };
  };

  const handle = async (request, response) => {
    const { pathname, searchParams: query } = new URL(request.url, 'http://store');
    const body = await readAll(request);
    await new Promise((resolve) => {
      setTimeout(resolve, ANSWER_MILLISECONDS);
    });
    if (pathname === '/log-append') {
      if (['keyed.op', 'keyed.servers'].includes(query.get('topic'))) reply(response, 403, {});
      else {
        const answer = append(query, body);
        reply(response, answer.status, answer.body);
      }
    } else if (pathname === '/log-read') await read(query, request, response);
    else if (pathname === '/log-newest') reply(response, 200, newest(query));
    else if (pathname === '/log-join') {
      const content = parseJson(body);
      reply(response, 200, groupOf(content.group).join(content));
    } else if (pathname === '/log-leave') {
      const content = parseJson(body);
      groupOf(content.group).leave(content);
      reply(response, 200, {});
    } else if (pathname === '/log-owners') {
      reply(response, 200, { owners: groupOf(query.get('group')).owners() });
    } else reply(response, 404, {});
  };

  const put = (topic, key, content) => {
    const value = content === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(content));
    const name = Buffer.from(key);
    partitionOf(topic, '0').add([Buffer.concat([Buffer.from([name.length]), name, value])]);
  };
  /** Returns the content that a key holds, for the record of a case. */
  const get = (topic, key) => {
    const found = partitionOf(topic, '0').newest.get(key);
    return found === undefined ? null : parseJson(found.value);
  };

  const { address, server } = await listen(handle);
  return {
    address,
    put,
    get,
    owners: (group) => groupOf(group).owners(),
    close: () => server.closeAllConnections(),
  };
}
