/** The referee of a play and what it is made of. */
import type { JobStatus } from '@baobabdeck/scheduling';
import type { SubmitResult, Workspace } from '@baobabdeck/scheduler';
import type { JobPlans } from './job-plans.js';
import type { HostObserver, ModelHost } from './model-fleet.js';
import type { WorkerObserver } from './observer.js';
import type { Violation } from './sightings.js';
import type { PlayedWorkspaces } from './workspace-play.js';
import type { VirtualTime } from './virtual-time.js';

/** What the rules hear. */
export interface HostRules extends HostObserver {
  readonly onWaveCompleted: (wave: number) => void;
  /** A wave is asked for; its hosts may be down for it up to a limit. */
  readonly onWaveAsked: (wave: number, hostIds: readonly string[], maximumDown: number) => void;
}

/** The referee. */
export interface Referee extends WorkerObserver, HostRules {
  readonly onSubmitAnswered: (jobId: string, answer: SubmitResult['kind']) => void;
  readonly onCancelSent: (jobId: string) => void;
  readonly onCancelAcknowledged: (jobId: string) => void;
  readonly onStatusShown: (jobId: string, status: JobStatus | null) => void;
  /** A caller received the number of pending jobs of a service, which it requested at `askedAt`. */
  readonly onPendingCounted: (service: string, count: number, askedAt: number) => void;
  /** Checks at the end of a calm stretch that nothing was left undone. */
  readonly checkRest: () => Promise<void>;
  /** Lets time pass without traffic, in which no job stands still for long beside free room. */
  readonly watchRest: (milliseconds: number) => Promise<void>;
  /** Jobs that were done within three times their objective, as a share of those that were handed in. */
  readonly servedShare: () => number;
  readonly checkServed: (floor: number) => void;
  /** The operator has published other caps of workspaces. */
  readonly onCapsChanged: (workspaces: readonly Workspace[]) => void;
  readonly violations: readonly Violation[];
  readonly counts: () => PlayCounts;
}

/** What a play came to in numbers. */
export interface PlayCounts {
  readonly runs: number;
  readonly completed: number;
  readonly accepted: number;
  /** Jobs that were shown as failed. */
  readonly failed: number;
  /** Runs that ended with the life of their worker: by its crash, a move or maintenance. */
  readonly lostRuns: number;
  /** How often each task that has crashed a worker was started. */
  readonly startsOfCrashingTasks: readonly number[];
}

/** What the referee knows beforehand. */
export interface RefereeParts {
  readonly time: VirtualTime;
  readonly plans: JobPlans;
  readonly hosts: () => ReadonlyMap<string, ModelHost>;
  /** When a trouble last began or ended. */
  readonly lastTroubleAt: () => number;
  /** Null for a play without workspaces. */
  readonly workspaces: PlayedWorkspaces | null;
}
