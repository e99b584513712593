/** Stand-ins of the workers and of the platform's machine service, as PROTOCOL.md of the users describes them. */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { listen, readBody, sendJson } from './http.mjs';

const MOST_ENDS = 500;
const CHECK_MS = 10;

function unitOf(name) {
  const [jobId, occurrence, step, index] = name.split('.');
  return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}

/**
 * Starts one worker.
 * `jobs` maps the id of a submission to its body and to `workMs`, the work of one of its work units.
 * `gangs` holds the members of gangs that are present, shared by all workers.
 */
export async function startWorker({
  id,
  machine,
  service,
  zone,
  rack,
  kind = 'a',
  capacity,
  guards,
  bounds,
  jobs,
  gangs,
  note,
  disturb = () => null,
  port = 0,
}) {
  const born = Date.now();
  const bornAt = performance.now();
  const clock = () => Math.round(performance.now() - bornAt);
  const running = new Map();
  const highestEnded = new Map();
  const waiters = new Set();
  let ended = [];
  let nextEnd = 1;
  let fence = 0;
  let leaseUntil = 0;
  let wasHeld = false;
  let isGone = false;
  let state = 'ready';
  let sequence = 0;
  let mode = null;

  const stepOf = (name) => {
    const { jobId, step } = unitOf(name);
    return jobs.get(jobId)?.body.steps[step] ?? null;
  };

  const used = () => {
    const sum = { cpu: 0, memMb: 0, gpu: 0 };
    running.forEach((_, name) => {
      const step = stepOf(name) ?? {};
      sum.cpu += step.fills ? 0 : (step.cpu ?? 0);
      sum.memMb += step.memMb ?? 0;
      sum.gpu += step.gpu ?? 0;
    });
    return sum;
  };

  const gangKey = (name, run) => {
    const { jobId, occurrence, step } = unitOf(name);
    return `${jobId}.${occurrence}.${step}/${run}`;
  };

  const end = (name, how) => {
    const one = running.get(name);
    if (one === undefined) return;
    running.delete(name);
    highestEnded.set(name, Math.max(highestEnded.get(name) ?? 0, one.run));
    ended.push([nextEnd, name, one.run, how, one.saved]);
    nextEnd += 1;
    note('end', { worker: id, task: name, run: one.run, how, number: nextEnd - 1 });
    if (one.gang !== null) {
      one.gang.members.delete(name);
      if (how !== 'done') {
        const others = [...one.gang.members.values()];
        one.gang.members.clear();
        others.forEach((endMember) => endMember('broken'));
      }
    }
    waiters.forEach((wake) => wake());
  };

  const joinGang = (name, run, step) => {
    const key = gangKey(name, run);
    const gang = gangs.get(key) ?? { members: new Map(), count: step.count, since: null };
    gangs.set(key, gang);
    gang.members.set(name, (how) => end(name, how));
    if (gang.members.size === gang.count) gang.since = performance.now();
    return gang;
  };

  const advance = (name, one) => {
    const job = jobs.get(unitOf(name).jobId);
    const step = stepOf(name);
    const now = performance.now();
    if (one.stopAt !== null) {
      if (now >= one.stopAt) end(name, 'stopped');
      return;
    }
    const since = one.gang === null ? one.startedAt : one.gang.since;
    if (since === null) {
      if (now - one.startedAt >= bounds.gangTimeoutMs) end(name, 'alone');
      return;
    }
    if (mode === 'hang') return;
    const worked = Math.max(0, now - since) + one.savedMs;
    if (step.checkpointing) {
      const saves = Math.floor(worked / (bounds.checkpointIntervalS * 1000));
      const savedMs = saves * bounds.checkpointIntervalS * 1000;
      if (savedMs > one.savedMs) one.saved = `${savedMs.toString(16).padStart(8, '0')}${job.id.slice(0, 8)}`;
    }
    if (step.longRunning) return;
    if (worked >= job.workMs(unitOf(name))) {
      const how = mode === 'fail' ? 'failed' : (job.endOf?.(unitOf(name), one.run) ?? 'done');
      if (one.gang !== null && how === 'done') {
        const others = [...one.gang.members.values()];
        one.gang.members.clear();
        others.forEach((endMember) => endMember('done'));
      } else end(name, how);
    }
  };

  const check = () => {
    const isHeld = clock() < leaseUntil;
    if (!isHeld && wasHeld) note('lease-lapsed', { worker: id });
    wasHeld = isHeld;
    if (!isHeld) [...running.keys()].forEach((name) => end(name, 'lapsed'));
    [...running].forEach(([name, one]) => advance(name, one));
  };
  const timer = setInterval(check, CHECK_MS);

  const extend = (untilMs) => {
    if (untilMs === undefined || untilMs === null) return;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clock() + bounds.maxHoldMs));
  };

  const refuse = (reason) => ({ status: 409, body: { clockMs: clock(), born, reason } });
  const accept = (body = {}) => ({ status: 200, body: { clockMs: clock(), born, ...body } });

  const checkFence = ({ fencingToken = 0 }) => {
    if (fencingToken < fence) return false;
    fence = fencingToken;
    return true;
  };

  const start = (order) => {
    const { task, run, spec, untilMs, checkpoint = '', fencingToken = 0 } = order;
    if (!checkFence(order)) return refuse('fence');
    const step = stepOf(task);
    const job = jobs.get(unitOf(task).jobId);
    if (step === null || spec !== job.body.spec) {
      note('unasked', { worker: id, task, run, spec });
      return { status: 400, body: { clockMs: clock(), born } };
    }
    const known = running.get(task);
    if (known?.run === run) return accept();
    if (run <= (highestEnded.get(task) ?? 0)) {
      extend(untilMs);
      return refuse('old');
    }
    if (untilMs <= clock()) return refuse('late');
    const total = used();
    const isOver =
      total.cpu + (step.fills ? 0 : (step.cpu ?? 0)) > capacity.cpu ||
      total.memMb + (step.memMb ?? 0) > capacity.memMb ||
      total.gpu + (step.gpu ?? 0) > capacity.gpu;
    if (isOver && guards) {
      extend(untilMs);
      return refuse('room');
    }
    if (isOver) note('over-capacity', { worker: id, task, run });
    extend(untilMs);
    const savedMs = checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16);
    const one = { run, startedAt: performance.now(), saved: checkpoint, savedMs, stopAt: null, gang: null };
    running.set(task, one);
    if (step.gang) one.gang = joinGang(task, run, step);
    note('start', { worker: id, born, service, task, run, checkpoint, fence: fencingToken });
    return accept();
  };

  const stop = (order) => {
    if (!checkFence(order)) return refuse('fence');
    const { task, run } = order;
    const one = running.get(task);
    highestEnded.set(task, Math.max(highestEnded.get(task) ?? 0, run));
    if (one !== undefined && one.run <= run && one.stopAt === null) {
      one.stopAt = performance.now() + bounds.stopMs / 2;
    }
    return accept();
  };

  const lists = () => ({
    running: [...running].map(([name, { run, saved, gang }]) => [
      name,
      run,
      saved,
      gang !== null && gang.since === null ? 0 : 100,
      stepOf(name)?.cpu ?? 0,
    ]),
    ended: ended.slice(0, MOST_ENDS),
  });

  const hold = async (order, response) => {
    if (!checkFence(order)) return refuse('fence');
    extend(order.untilMs);
    const { lastSeen = 0, waitMs = 0 } = order;
    const forgotten = ended.filter(([number]) => number <= lastSeen);
    forgotten.forEach(([number, task, run, how]) => note('noted', { worker: id, task, run, how, number }));
    if (forgotten.length > 0) ended = ended.filter(([number]) => number > lastSeen);
    if (ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          waiters.delete(finish);
          resolve();
        };
        waiters.add(finish);
        setTimeout(finish, waitMs);
        response?.on('close', finish);
      });
    }
    return accept(lists());
  };

  const carryOut = async (url, order, response) => {
    let result = { status: 404, body: {} };
    if (url === '/run-start') result = start(order);
    else if (url === '/run-stop') result = stop(order);
    else if (url === '/hold') result = await hold(order, response);
    else if (url === '/pace') result = accept();
    else if (url === '/healthz') result = { status: 200, body: {} };
    return result;
  };

  const answer = async (request, response) => {
    const body = await readBody(request);
    if (isGone) return;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      sendJson(response, 421, { clockMs: clock(), born });
      return;
    }
    const order = body.length === 0 ? {} : JSON.parse(body.toString('utf8'));
    const trouble = disturb(request.url, order, id);
    if (trouble?.kind === 'kept') {
      // The order gets no answer; the case carries it out later, on whatever life then has the id.
      trouble.keep(order);
      return;
    }
    if (trouble?.kind === 'late') {
      // The order gets no answer and is carried out late, if this life still runs.
      setTimeout(() => {
        if (!isGone) void carryOut(request.url, { ...order, waitMs: 0 }, response);
      }, trouble.afterMs);
      return;
    }
    const result = await carryOut(request.url, order, response);
    if (trouble?.kind === 'lost') return;
    if (!isGone) sendJson(response, result.status, result.body);
  };

  const server = createServer((request, response) => {
    answer(request, response).catch((error) => note('stand-in-fault', { error: String(error) }));
  });
  const address = await listen(server, port);

  return {
    id,
    machine,
    service,
    zone,
    address,
    port: Number(address.split(':')[1]),
    /** Carries out an order that was kept back. */
    carryOut: (url, order) => carryOut(url, { ...order, waitMs: 0 }, null),
    runningTasks: () => [...running.keys()],
    isGone: () => isGone,
    setMode: (next) => {
      mode = next;
    },
    setState: (next) => {
      state = next;
    },
    entry: () => {
      sequence += 1;
      return {
        service,
        address,
        zone,
        version: 'v1',
        slots: 8,
        state,
        coldRemainingMs: 0,
        capacity,
        labels: [kind, rack],
        machine,
        born,
        clockMs: clock(),
        sequence,
      };
    },
    listing: () => ({
      machine,
      pool: service,
      state: isGone ? 'down' : 'up',
      zone,
      labels: [kind, rack],
      capacity,
      id: isGone ? '' : id,
    }),
    /** The worker crashes: all that it runs is gone, and its connections are reset. */
    crash: () => {
      isGone = true;
      clearInterval(timer);
      [...running].forEach(([name, { run }]) => note('lost', { worker: id, task: name, run }));
      running.clear();
      server.closeAllConnections();
      server.close();
    },
    close: () => {
      isGone = true;
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Starts the machine service and the heartbeats of the workers; workers are added with `add`. */
export async function startFleet({ store, heartbeatMs, note }) {
  const workers = new Map();
  let calls = 0;

  const server = createServer((request, response) => {
    calls += 1;
    readBody(request).then(
      () => {
        if (request.method === 'GET') {
          const machines = [...workers.values()].map((worker) => worker.listing());
          sendJson(response, 200, { machines, nextPageToken: null });
        } else {
          note('machine-order', { path: request.url });
          sendJson(response, 409, { reason: 'busy' });
        }
      },
      () => response.destroy(),
    );
  });
  const address = await listen(server);
  const beat = (worker) => {
    if (!worker.isGone()) store.write('keyed.servers', worker.id, worker.entry());
  };
  const timer = setInterval(() => workers.forEach(beat), heartbeatMs);

  return {
    address,
    workers: () => [...workers.values()],
    calls: () => calls,
    add: (worker) => {
      workers.set(worker.machine, worker);
      beat(worker);
    },
    beat,
    /** The register drops the entry of a silent worker. */
    expire: (worker) => store.write('keyed.servers', worker.id, null),
    close: () => {
      clearInterval(timer);
      workers.forEach((worker) => worker.close());
      server.closeAllConnections();
      server.close();
    },
  };
}
