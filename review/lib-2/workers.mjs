/** Stand-ins of the workers and of the platform's list of machines, as PROTOCOL.md describes them. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { listen, parseJson, readAll, reply } from './http.mjs';

const HEARTBEAT_MILLISECONDS = 1_500;
const TICK_MILLISECONDS = 20;
const LONGEST_LEASE_MILLISECONDS = 10_000;
const LONGEST_WAIT_MILLISECONDS = 2_000;
const CHECKPOINT_MILLISECONDS = 2_000;
const RESTORE_MILLISECONDS = 250;
const FULL_PERCENT = 100;
const STOP_MILLISECONDS = 50;
const ENDS_PER_LIST = 500;
const GANG_TIMEOUT_MILLISECONDS = 3_000;
/** Time until the members of a gang on other workers notice that one has failed. */
const GANG_NOTICE_MILLISECONDS = 30;
const FAILURE_MILLISECONDS = 100;
const DEFAULT_RUN_MILLISECONDS = 500;

/** How long a task works, by its specification: `work=MILLISECONDS`, or `lasts`. */
function workOf(specification) {
  if (specification.includes('lasts')) return Infinity;
  return Number(/work=(\d+)/.exec(specification)?.[1] ?? DEFAULT_RUN_MILLISECONDS);
}

/** The size of the gang that a task belongs to, by its specification: `gang=MEMBERS`; 1 for no gang. */
function gangSizeOf(specification) {
  return Number(/gang=(\d+)/.exec(specification)?.[1] ?? 1);
}

/** Where the members of gangs meet: they work from the moment when all are present, and end together. */
function createGangs() {
  const gangs = new Map();
  const idOf = (task, run) => `${task.slice(0, task.lastIndexOf('.'))}/${run}`;
  return {
    enter: (task, run, size, member) => {
      const id = idOf(task, run);
      const members = gangs.get(id) ?? new Map();
      gangs.set(id, members.set(task, member));
      if (members.size === size) [...members.values()].forEach(({ begin }) => begin());
    },
    leave: (task, run, how) => {
      const members = gangs.get(idOf(task, run));
      if (members === undefined) return;
      members.delete(task);
      if (how === 'failed') {
        setTimeout(
          () => [...members.values()].forEach(({ breakOff }) => breakOff('broken')),
          GANG_NOTICE_MILLISECONDS,
        );
      } else {
        const next = how === 'done' ? 'done' : 'broken';
        [...members.values()].forEach(({ breakOff }) => breakOff(next));
      }
    },
  };
}

/** One life of a worker. `seen` receives what it starts and how that ends. */
async function startLife({ id, service, machine, zone, rack, capacity, isFailing, store, seen, gangs }) {
  const born = Date.now();
  const beganAt = performance.now();
  const running = new Map();
  const floors = new Map();
  const waiting = new Set();
  let ended = [];
  let endNumber = 0;
  let fence = 0;
  let leaseUntil = 0;
  const state = 'ready';
  let sequence = 0;
  let isAlive = true;
  const clock = () => Math.round(performance.now() - beganAt);

  const end = (task, how) => {
    const run = running.get(task);
    if (run === undefined) return;
    running.delete(task);
    endNumber += 1;
    ended.push([endNumber, task, run.run, how, how === 'done' ? '' : run.saved]);
    floors.set(task, Math.max(floors.get(task) ?? 0, run.run));
    seen({ event: 'end', worker: id, born, task, run: run.run, how });
    [...waiting].forEach((wake) => wake());
    if (run.gangSize > 1) gangs.leave(task, run.run, how);
  };

  const tick = () => {
    const now = performance.now();
    if (clock() > leaseUntil) [...running.keys()].forEach((task) => end(task, 'lapsed'));
    for (const [task, run] of [...running]) {
      const worked = run.beganAt === null ? 0 : now - run.beganAt + run.resumedAt;
      if (worked - run.savedAt >= CHECKPOINT_MILLISECONDS) {
        run.savedAt += CHECKPOINT_MILLISECONDS;
        run.saved = String(run.savedAt);
      }
      if (run.stopAt !== null && now >= run.stopAt) end(task, 'stopped');
      else if (run.beganAt === null && now - run.startedAt > GANG_TIMEOUT_MILLISECONDS) end(task, 'alone');
      else if (isFailing() && now - (run.beganAt ?? now) > FAILURE_MILLISECONDS) end(task, 'failed');
      else if (worked >= run.work) end(task, 'done');
    }
  };

  const extend = (untilMs) => {
    if (untilMs === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clock() + LONGEST_LEASE_MILLISECONDS));
  };

  const used = () =>
    [...running.values()].reduce(
      (sum, { needs }) => ({ cpu: sum.cpu + needs.cpu, memMb: sum.memMb + needs.memMb }),
      {
        cpu: 0,
        memMb: 0,
      },
    );

  const start = ({ task, run, spec, untilMs, checkpoint = '' }) => {
    const known = running.get(task);
    if (known?.run === run) return { status: 200, body: { clockMs: clock() } };
    if (run <= (floors.get(task) ?? 0) || (known !== undefined && run < known.run)) {
      extend(untilMs);
      return { status: 409, body: { clockMs: clock(), reason: 'old' } };
    }
    if (untilMs !== undefined && untilMs <= clock()) {
      return { status: 409, body: { clockMs: clock(), reason: 'late' } };
    }
    const needs = {
      cpu: Number(/cpu=(\d+)/.exec(spec)?.[1] ?? 0),
      memMb: Number(/mem=(\d+)/.exec(spec)?.[1] ?? 0),
    };
    const taken = used();
    extend(untilMs);
    if (taken.cpu + needs.cpu > capacity.cpu || taken.memMb + needs.memMb > capacity.memMb) {
      return { status: 409, body: { clockMs: clock(), reason: 'room' } };
    }
    const saved = Number(checkpoint === '' ? 0 : checkpoint);
    const gangSize = gangSizeOf(spec);
    const startedAt = performance.now();
    const row = {
      run,
      gangSize,
      work: workOf(spec) + (saved > 0 ? RESTORE_MILLISECONDS : 0),
      needs,
      startedAt,
      beganAt: gangSize > 1 ? null : startedAt,
      resumedAt: saved,
      savedAt: saved,
      saved: checkpoint,
      stopAt: null,
    };
    running.set(task, row);
    seen({ event: 'start', worker: id, born, task, run, checkpoint });
    if (gangSize > 1) {
      const begin = () => {
        row.beganAt = performance.now();
      };
      gangs.enter(task, run, gangSize, { begin, breakOff: (how) => end(task, how) });
    }
    return { status: 200, body: { clockMs: clock() } };
  };

  const stop = ({ task, run }) => {
    const known = running.get(task);
    if (known?.run === run) known.stopAt ??= performance.now() + STOP_MILLISECONDS;
    else floors.set(task, Math.max(floors.get(task) ?? 0, run));
    return { status: 200, body: { clockMs: clock() } };
  };

  const lists = () => ({
    clockMs: clock(),
    born,
    running: [...running].map(([task, { run, saved, needs }]) => [task, run, saved, FULL_PERCENT, needs.cpu]),
    ended: ended.slice(0, ENDS_PER_LIST),
  });

  const hold = async ({ lastSeen = 0, untilMs, waitMs = 0 }) => {
    extend(untilMs);
    ended = ended.filter(([number]) => number > lastSeen);
    const wait = Math.min(LONGEST_WAIT_MILLISECONDS, waitMs);
    if (ended.length === 0 && wait > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
        setTimeout(wake, wait);
      });
    }
    return { status: 200, body: lists() };
  };

  const handle = async (request, response) => {
    const content = parseJson(await readAll(request));
    if (request.url === '/healthz') {
      reply(response, state === 'ready' ? 200 : 503, {});
      return;
    }
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      reply(response, 421, { clockMs: clock() });
      return;
    }
    const token = content?.fencingToken ?? 0;
    if (content === null || token < fence) {
      const status = content === null ? 400 : 409;
      reply(response, status, { clockMs: clock(), reason: 'fence' });
      return;
    }
    fence = token;
    let answer = { status: 404, body: {} };
    if (request.url === '/run-start') answer = start(content);
    else if (request.url === '/run-stop') answer = stop(content);
    else if (request.url === '/pace') answer = { status: 200, body: { clockMs: clock() } };
    else if (request.url === '/hold') answer = await hold(content);
    if (isAlive) reply(response, answer.status, answer.body);
  };

  const { address, server } = await listen(handle);
  const report = () => {
    sequence += 1;
    store.put('keyed.servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state,
      coldRemainingMs: 0,
      capacity,
      labels: ['a', rack],
      clockMs: clock(),
      born,
      machine,
      sequence,
    });
  };
  report();
  const timers = [setInterval(report, HEARTBEAT_MILLISECONDS), setInterval(tick, TICK_MILLISECONDS)];

  const close = () => {
    isAlive = false;
    timers.forEach(clearInterval);
    server.close();
    server.closeAllConnections();
  };

  return {
    id,
    born,
    running: () => [...running.keys()],
    /** Ends a run by itself, as `done` or `failed`. */
    finish: end,
    /** Ends without a word; what ran there is gone. */
    crash: () => {
      const lost = [...running];
      running.clear();
      lost.forEach(([task, { run, gangSize }]) => {
        seen({ event: 'end', worker: id, born, task, run, how: 'lost' });
        if (gangSize > 1) gangs.leave(task, run, 'lost');
      });
      close();
      setTimeout(() => store.put('keyed.servers', id, null), 3 * HEARTBEAT_MILLISECONDS);
    },
    close,
  };
}

/** Starts the machines of a pool, each with a worker, and the platform's list of machines. */
export async function startMachines({ store, services, seen }) {
  const machines = new Map();
  const gangs = createGangs();
  let lives = 0;

  const open = async (machine) => {
    lives += 1;
    const id = `i-${String(lives).padStart(8, '0')}`;
    machine.life = await startLife({ ...machine, id, isFailing: () => machine.failsAll, store, seen, gangs });
    machine.state = 'up';
  };

  for (const { service, count, capacity } of services) {
    for (let index = 0; index < count; index += 1) {
      const machine = {
        machine: `m-${service}-${index}`,
        service,
        zone: `zone-${index % 2}`,
        rack: `r-${Math.floor(index / 4)}`,
        capacity,
        state: 'up',
        failsAll: false,
        life: null,
      };
      machines.set(machine.machine, machine);
      await open(machine);
    }
  }

  const list = () =>
    [...machines.values()].map(({ machine, service, zone, rack, capacity, state, life }) => ({
      machine,
      pool: service,
      state,
      zone,
      labels: ['a', rack],
      capacity,
      id: state === 'up' ? life.id : '',
    }));

  const { address, server } = await listen(async (request, response) => {
    await readAll(request);
    if (request.method === 'GET') reply(response, 200, { machines: list(), nextPageToken: null });
    else reply(response, 409, { reason: 'busy' });
  });

  return {
    address,
    workers: (service) =>
      [...machines.values()].filter((one) => one.service === service && one.state === 'up'),
    /** Crashes the worker of a machine; the machine comes back with a new worker after a time. */
    crash: (machine, downMilliseconds) => {
      machine.state = 'down';
      machine.life.crash();
      setTimeout(() => {
        void open(machine);
      }, downMilliseconds);
    },
    close: () => {
      [...machines.values()].forEach(({ life }) => life.close());
      server.close();
      server.closeAllConnections();
    },
  };
}
