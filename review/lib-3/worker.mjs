/**
 * Stand-in for one life of a worker: runs work units, holds them under a lease, refuses lower fencing tokens and lists
 * what runs and what has ended. A work unit's `spec` is JSON with `ms`, its duration; one without it lasts.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const HOST = '127.0.0.1';
const LONGEST_HOLD_MS = 10_000;
const LONGEST_WAIT_MS = 2_000;
const ENDS_PER_ANSWER = 500;
const FULL_SPEED = 100;

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Starts a worker. `needsOf(task)` returns the `cpu` and `memMb` of a work unit. */
export async function startWorker({ id, capacity, stopMs, needsOf, note }) {
  const born = Date.now();
  const beganAt = performance.now();
  const running = new Map();
  const highest = new Map();
  let ended = [];
  let lastNumber = 0;
  let fence = 0;
  let leaseUntil = 0;
  let leaseTimer = null;
  let waiting = [];
  let isUp = true;

  const clockMs = () => Math.round(performance.now() - beganAt);

  const end = (task, how) => {
    const unit = running.get(task);
    if (unit === undefined) return;
    running.delete(task);
    clearTimeout(unit.timer);
    highest.set(task, Math.max(highest.get(task) ?? 0, unit.run));
    lastNumber += 1;
    ended.push([lastNumber, task, unit.run, how, '']);
    note('ended', { worker: id, task, run: unit.run, how });
    const woken = waiting;
    waiting = [];
    woken.forEach((wake) => wake());
  };

  /** Ends everything once the lease is over; waits on if it was extended meanwhile. */
  const watchLease = () => {
    clearTimeout(leaseTimer);
    if (clockMs() >= leaseUntil) [...running.keys()].forEach((task) => end(task, 'lapsed'));
    else leaseTimer = setTimeout(watchLease, leaseUntil - clockMs());
  };

  const extendLease = (untilMs) => {
    if (untilMs === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(untilMs, clockMs() + LONGEST_HOLD_MS));
    watchLease();
  };

  const conflict = (reason) => ({ status: 409, body: { clockMs: clockMs(), reason } });
  const done = (body = {}) => ({ status: 200, body: { clockMs: clockMs(), ...body } });

  const isFenced = ({ fencingToken = 0 }) => {
    if (fencingToken < fence) return true;
    fence = fencingToken;
    return false;
  };

  const hasRoom = (task) => {
    const units = [...running.keys(), task].map(needsOf);
    const sum = (field) => units.reduce((total, unit) => total + (unit[field] ?? 0), 0);
    return sum('cpu') <= capacity.cpu && sum('memMb') <= capacity.memMb;
  };

  const startRun = (order) => {
    if (isFenced(order)) return conflict('fence');
    const { task, run, spec, untilMs } = order;
    const unit = running.get(task);
    if (unit?.run === run) return done();
    if (run <= (highest.get(task) ?? 0)) {
      extendLease(untilMs);
      return conflict('old');
    }
    if (untilMs <= clockMs()) return conflict('late');
    extendLease(untilMs);
    if (unit !== undefined || !hasRoom(task)) return conflict('room');
    const { ms = null } = JSON.parse(spec);
    const timer = ms === null ? null : setTimeout(() => end(task, 'done'), ms);
    running.set(task, { run, timer, isStopping: false });
    note('started', { worker: id, task, run, spec, fence });
    return done();
  };

  const stopRun = (order) => {
    if (isFenced(order)) return conflict('fence');
    const { task, run } = order;
    highest.set(task, Math.max(highest.get(task) ?? 0, run));
    const unit = running.get(task);
    if (unit !== undefined && unit.run <= run && !unit.isStopping) {
      unit.isStopping = true;
      clearTimeout(unit.timer);
      unit.timer = setTimeout(() => end(task, 'stopped'), stopMs / 2);
    }
    return done();
  };

  const waitForEnd = async (waitMs) => {
    if (waitMs === 0 || ended.length > 0) return;
    await new Promise((resolve) => {
      waiting.push(resolve);
      setTimeout(resolve, Math.min(waitMs, LONGEST_WAIT_MS));
    });
  };

  const hold = async (order) => {
    if (isFenced(order)) return conflict('fence');
    const { untilMs, lastSeen = 0, waitMs = 0 } = order;
    extendLease(untilMs);
    ended
      .filter(([number]) => number <= lastSeen)
      .forEach(([, task, run, how]) => note('seen', { task, run, how }));
    ended = ended.filter(([number]) => number > lastSeen);
    await waitForEnd(waitMs);
    const rows = [...running].map(([task, { run }]) => [task, run, '', FULL_SPEED]);
    return done({ born, running: rows, ended: ended.slice(0, ENDS_PER_ANSWER) });
  };

  const carryOut = (path, order) => {
    if (path === '/hold') return hold(order);
    if (path === '/run-start') return startRun(order);
    if (path === '/run-stop') return stopRun(order);
    return done();
  };

  const handle = async (request, response) => {
    const order = JSON.parse(await readBody(request));
    if (request.headers['expect-instance'] !== id) {
      response.writeHead(421);
      response.end('{}');
      return;
    }
    const { status, body } = await carryOut(request.url, order);
    if (!isUp) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => request.socket.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });

  return {
    id,
    born,
    capacity,
    address: `${HOST}:${server.address().port}`,
    clockMs,
    running: () => [...running].map(([task, { run }]) => ({ task, run })),
    /** Ends this life; everything that runs on it ends unlisted. */
    end: async () => {
      isUp = false;
      running.forEach(({ timer, run }, task) => {
        clearTimeout(timer);
        note('died', { worker: id, task, run });
      });
      running.clear();
      clearTimeout(leaseTimer);
      server.closeAllConnections();
      server.close();
      await sleep(0);
    },
  };
}
