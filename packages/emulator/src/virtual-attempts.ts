/** Attempts of gateways to have hosts carry out requests, in virtual time. */
import type { Effect } from '@baobabdeck/core';
import type { Schedule } from './schedule.js';
import { OK_STATUS, type VirtualCallers } from './virtual-callers.js';
import type { HostOutcome, VirtualHost } from './virtual-host.js';
import type { VirtualProcess } from './virtual-process.js';

const FAILED_STATUS = 500;

/** Dependencies of the attempts. */
export interface VirtualAttemptsParts {
  readonly schedule: Schedule;
  readonly latencyMilliseconds: number;
  readonly hosts: ReadonlyMap<string, VirtualHost>;
  readonly callers: VirtualCallers;
}

/** The attempts under way. */
export interface VirtualAttempts {
  readonly start: (
    process: VirtualProcess,
    effect: Extract<Effect, { readonly kind: 'start-attempt' }>,
  ) => void;
  /** Drops the outcome of an attempt; the host goes on with its work. */
  readonly abort: (attemptId: string) => void;
}

function dispatchFailure(process: VirtualProcess, attemptId: string, outcome: 'cut' | 'unreachable'): void {
  process.dispatch({
    kind: 'attempt-failed',
    attemptId,
    stage: outcome === 'cut' ? 'after-sending' : 'before-sending',
    bodyReplayable: true,
    reason: 'cut off',
  });
}

function dispatchResponse(
  process: VirtualProcess,
  attemptId: string,
  requestId: string,
  status: number,
): void {
  process.dispatch({ kind: 'attempt-responded', attemptId, status });
  const body = new TextEncoder().encode(requestId);
  process.dispatch({
    kind: 'attempt-completed',
    attemptId,
    status,
    answer: { status, headers: [], body },
  });
}

/** Creates attempts, at first none. */
export function createVirtualAttempts(parts: VirtualAttemptsParts): VirtualAttempts {
  const { schedule, latencyMilliseconds, hosts, callers } = parts;
  const aborted = new Set<string>();
  return {
    start: (process, { attemptId, requestId, target }) => {
      const host = hosts.get(target.hostId);
      const request = host === undefined ? null : callers.beginAttempt(requestId);
      if (host === undefined || request === null) return;
      const finish = (outcome: HostOutcome): void => {
        if (aborted.has(attemptId)) return;
        if (outcome === 'cut' || outcome === 'unreachable') dispatchFailure(process, attemptId, outcome);
        else dispatchResponse(process, attemptId, requestId, outcome === 'done' ? OK_STATUS : FAILED_STATUS);
      };
      schedule.after(latencyMilliseconds, () =>
        host.submit({
          workId: request.workId,
          runMilliseconds: request.runMilliseconds,
          onDone: (outcome) => schedule.after(latencyMilliseconds, () => finish(outcome)),
        }),
      );
    },
    abort: (attemptId) => {
      aborted.add(attemptId);
    },
  };
}
