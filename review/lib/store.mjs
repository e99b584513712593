/** Stand-in of the platform's store: an append-only log over HTTP, as PROTOCOL.md of the users describes it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readBody, sendJson } from './http.mjs';

const LENGTH_BYTES = 4;
const NEWEST_ITEMS = 500;
const NEWEST_BYTES = 1_000_000;
const READ_BYTES = 1_048_576;
const RECENT_APPENDS = 5;

function unframe(body) {
  const records = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const length = body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_BYTES, position + LENGTH_BYTES + length));
    position += LENGTH_BYTES + length;
  }
  return records;
}

/** Creates an empty partition. */
function createPartition(isKeyed) {
  return { isKeyed, records: [], newest: new Map(), producers: new Map(), waiters: new Set(), busyUntil: 0 };
}

function keyOf(record) {
  return record.toString('utf8', 1, 1 + record[0]);
}

function push(partition, record) {
  const offset = partition.records.length;
  partition.records.push(record);
  if (!partition.isKeyed) return;
  const key = keyOf(record);
  const value = record.subarray(1 + record[0]);
  if (value.length === 0) partition.newest.delete(key);
  else partition.newest.set(key, { offset, value });
}

function wakeReaders(partition) {
  [...partition.waiters].forEach((wake) => wake());
}

function splitPlace(place) {
  const slash = place.lastIndexOf('/');
  return [place.slice(0, slash), Number(place.slice(slash + 1))];
}

/** Group of consumers: assigns partitions evenly, and a revoked one only once its former member has given it up. */
function createGroup(parts) {
  const members = new Map();
  const holders = new Map();
  let generation = 0;

  const places = () => {
    const topics = new Set([...members.values()].flatMap(({ topics: own }) => own));
    return [...topics]
      .sort()
      .flatMap((topic) => Array.from({ length: parts }, (_, part) => `${topic}/${part}`));
  };

  const targetOf = (place) => {
    const names = [...members.keys()].sort();
    if (names.length === 0) return null;
    return names[places().indexOf(place) % names.length];
  };

  const release = (name) => {
    [...holders].forEach(([place, holder]) => {
      if (holder === name) holders.delete(place);
    });
  };

  const remove = (name) => {
    if (!members.delete(name)) return;
    release(name);
    generation += 1;
  };

  const expire = () => {
    const now = performance.now();
    [...members].forEach(([name, { until }]) => {
      if (until < now) remove(name);
    });
  };

  return {
    join: ({ member, topics, ttlMs, generation: reported }) => {
      expire();
      const known = members.get(member);
      const isChanged = known === undefined || known.topics.join() !== topics.join();
      members.set(member, { topics, until: performance.now() + ttlMs });
      if (isChanged) generation += 1;
      [...holders].forEach(([place, holder]) => {
        if (holder === member && targetOf(place) !== member && reported >= generation) holders.delete(place);
      });
      places().forEach((place) => {
        if (!holders.has(place) && targetOf(place) === member) holders.set(place, member);
      });
      const own = places().filter((place) => holders.get(place) === member && targetOf(place) === member);
      return { generation, ttlMs, parts: own.map((place) => [...splitPlace(place), 0]) };
    },
    leave: ({ member }) => remove(member),
    /** Extends the time of all members: it pauses while the store is down. */
    extend: (milliseconds) => {
      members.forEach((member) => Object.assign(member, { until: member.until + milliseconds }));
    },
    owners: () => {
      expire();
      return [...holders].map(([place, member]) => [...splitPlace(place), member, 0]);
    },
  };
}

/** Starts the store. `settings` are the fields under `platform` of the settings file. */
export async function startStore(settings, note) {
  const partitions = new Map();
  const groups = new Map();
  let isDown = false;
  let downSince = 0;

  const partitionOf = (topic, part) => {
    const name = `${topic}/${part}`;
    const known = partitions.get(name);
    if (known !== undefined) return known;
    const made = createPartition(topic.startsWith('keyed.'));
    partitions.set(name, made);
    return made;
  };

  const groupOf = (name) => {
    if (!groups.has(name)) groups.set(name, createGroup(settings.parts));
    return groups.get(name);
  };

  const findFault = (records) => {
    const total = records.reduce((sum, record) => sum + record.length, 0);
    const largest = Math.max(0, ...records.map((record) => record.length));
    if (largest > settings.recordBytes) return `record of ${largest} bytes`;
    return total > settings.requestBytes ? `request of ${total} bytes` : null;
  };

  const append = (query, records) => {
    const topic = query.get('topic');
    const fault = findFault(records);
    if (fault !== null) {
      note('store-refused', { topic, part: query.get('part'), fault });
      return { status: 400, body: { reason: fault } };
    }
    const partition = partitionOf(topic, Number(query.get('part')));
    const at = query.get('at');
    const end = partition.records.length;
    if (at !== null && Number(at) !== end) return { status: 412, body: { end } };
    const producer = query.get('producer');
    const stored = () => {
      records.forEach((record) => push(partition, record));
      if (records.length > 0) wakeReaders(partition);
      return { status: 200, body: { offset: end, end: partition.records.length } };
    };
    if (producer === null) return stored();
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const known = partition.producers.get(producer);
    if (known !== undefined && epoch < known.epoch) return { status: 409, body: { reason: 'fenced' } };
    if (known === undefined || epoch > known.epoch) {
      const answer = stored();
      partition.producers.set(producer, { epoch, sequence, recent: new Map([[sequence, answer]]) });
      return answer;
    }
    const repeated = known.recent.get(sequence);
    if (repeated !== undefined) return repeated;
    if (sequence !== known.sequence + 1) {
      return { status: 409, body: { reason: 'seq', sequence: known.sequence + 1 } };
    }
    const answer = stored();
    known.sequence = sequence;
    known.recent.set(sequence, answer);
    if (known.recent.size > RECENT_APPENDS) known.recent.delete([...known.recent.keys()][0]);
    return answer;
  };

  const read = async (query, response) => {
    const partition = partitionOf(query.get('topic'), Number(query.get('part')));
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (from >= partition.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        let timer = null;
        const finish = () => {
          clearTimeout(timer);
          partition.waiters.delete(finish);
          resolve();
        };
        timer = setTimeout(finish, waitMs);
        partition.waiters.add(finish);
        response.on('close', finish);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const frames = [head];
    let bytes = 0;
    for (let offset = from; offset < partition.records.length && bytes < READ_BYTES; offset += 1) {
      const record = partition.records[offset];
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length, 0);
      frames.push(length, record);
      bytes += record.length;
    }
    return Buffer.concat(frames);
  };

  const newest = (query) => {
    const partition = partitionOf(query.get('topic'), Number(query.get('part')));
    const after = query.get('after');
    const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after);
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { offset, value } = partition.newest.get(key);
      if (items.length >= NEWEST_ITEMS || (items.length > 0 && bytes + value.length > NEWEST_BYTES)) break;
      items.push({ key, value: value.toString('base64'), offset });
      bytes += value.length;
    }
    return { items, hasMore: items.length < keys.length, end: partition.records.length };
  };

  const answer = async (request, response) => {
    const url = new globalThis.URL(request.url, 'http://store');
    const query = url.searchParams;
    const body = await readBody(request);
    if (isDown) {
      sendJson(response, 503, { reason: 'busy' });
      return;
    }
    if (url.pathname === '/log-append') {
      await sleep(settings.appendMs);
      if (isDown) {
        sendJson(response, 503, { reason: 'busy' });
        return;
      }
      const { status, body: content } = append(query, unframe(body));
      sendJson(response, status, content);
    } else if (url.pathname === '/log-read') {
      const content = await read(query, response);
      if (isDown) sendJson(response, 503, { reason: 'busy' });
      else response.end(content);
    } else if (url.pathname === '/log-newest') sendJson(response, 200, newest(query));
    else if (url.pathname === '/log-owners') {
      sendJson(response, 200, { parts: groupOf(query.get('group')).owners() });
    } else {
      const content = JSON.parse(body.toString('utf8'));
      if (url.pathname === '/log-join') sendJson(response, 200, groupOf(content.group).join(content));
      else if (url.pathname === '/log-leave') {
        groupOf(content.group).leave(content);
        sendJson(response, 200, {});
      } else sendJson(response, 404, {});
    }
  };

  const server = createServer((request, response) => {
    answer(request, response).catch((error) => note('stand-in-fault', { error: String(error) }));
  });
  const address = await listen(server);
  return {
    address,
    /** Writes a keyed record as the operator or a worker does. */
    write: (topic, key, value) => {
      const keyBytes = Buffer.from(key, 'utf8');
      const text = value === null ? '' : JSON.stringify(value);
      const partition = partitionOf(topic, 0);
      push(partition, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(text, 'utf8')]));
      wakeReaders(partition);
    },
    /** Rows of topic, partition and member of a group. */
    owners: (group) => groupOf(group).owners(),
    /** The newest value of a key, as bytes; null if there is none. */
    newestOf: (topic, part, key) => partitionOf(topic, part).newest.get(key)?.value ?? null,
    /** Takes the store down: it answers 503 and does nothing. The times of group members pause. */
    setDown: (next) => {
      if (next === isDown) return;
      isDown = next;
      if (next) downSince = performance.now();
      else groups.forEach((group) => group.extend(performance.now() - downSince));
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
