/** A target in virtual time: slots, a queue inside, and counts that the system cannot embellish. */
import type { HostPresence } from '@baobabdeck/types';
import type { Schedule } from './schedule.js';

/** How a host treats work. */
export type HostBehaviour = 'normal' | 'fails' | 'silent' | 'cuts';

/** How work at a host ends; `unreachable` when it never came there. */
export type HostOutcome = 'done' | 'failed' | 'cut' | 'unreachable';

/** A piece of work at a host. */
export interface HostWork {
  readonly workId: string;
  readonly runMilliseconds: number;
  readonly onStarted?: () => void;
  readonly onDone: (outcome: HostOutcome) => void;
}

/** A host. */
export interface VirtualHost {
  readonly hostId: string;
  behaviour: HostBehaviour;
  presence: HostPresence;
  bootedAt: number;
  readonly submit: (work: HostWork) => void;
  readonly running: () => number;
  readonly mostRunning: () => number;
  /** The most work that waited inside the host at once, beyond its slots. */
  readonly mostQueued: () => number;
  /** Pieces of work that were running when a planned reboot came. */
  readonly cutByReboot: () => number;
  /** Loses everything that runs and answers nothing until `boot`. */
  readonly stop: (planned: boolean) => void;
  readonly boot: () => void;
}

/** What hosts count together. */
export interface RunCounter {
  readonly runs: Map<string, number>;
}

/** Creates a host. */
export function createVirtualHost(
  hostId: string,
  slots: number,
  schedule: Schedule,
  counter: RunCounter,
): VirtualHost {
  const waiting: HostWork[] = [];
  const atWork = new Set<HostWork>();
  let running = 0;
  let most = 0;
  let mostQueued = 0;
  let cut = 0;
  let life = 0;
  let up = true;

  const begin = (work: HostWork): void => {
    const startedIn = life;
    running += 1;
    atWork.add(work);
    most = Math.max(most, running);
    counter.runs.set(work.workId, (counter.runs.get(work.workId) ?? 0) + 1);
    work.onStarted?.();
    schedule.after(work.runMilliseconds, () => {
      if (life !== startedIn) return;
      running -= 1;
      atWork.delete(work);
      const next = waiting.shift();
      if (next !== undefined) begin(next);
      finish(work);
    });
  };
  const host: VirtualHost = {
    hostId,
    behaviour: 'normal',
    presence: 'live',
    bootedAt: 0,
    submit: (work) => {
      if (!up) {
        work.onDone('unreachable');
      } else if (host.behaviour === 'fails') {
        counter.runs.set(work.workId, (counter.runs.get(work.workId) ?? 0) + 1);
        work.onDone('failed');
      } else if (running >= slots) {
        waiting.push(work);
        mostQueued = Math.max(mostQueued, waiting.length);
      } else {
        begin(work);
      }
    },
    running: () => running,
    mostRunning: () => most,
    mostQueued: () => mostQueued,
    cutByReboot: () => cut,
    stop: (planned) => {
      if (planned) cut += running;
      life += 1;
      running = 0;
      up = false;
      // A host that goes down resets its connections.
      [...atWork, ...waiting.splice(0)].forEach((work) => work.onDone('cut'));
      atWork.clear();
      host.presence = 'failed';
    },
    boot: () => {
      up = true;
      host.presence = 'live';
      host.bootedAt = schedule.now();
    },
  };
  function finish(work: HostWork): void {
    if (host.behaviour === 'silent') return;
    work.onDone(host.behaviour === 'cuts' ? 'cut' : 'done');
  }
  return host;
}
