/** Workers as registered, their reports, and hosts as listed. A worker is one incarnation of a host that runs tasks. */
import type { RunEnd, TaskKey } from './job.js';
import type { Resources } from './resources.js';

/** Entry of one worker in the register of workers. */
export interface WorkerListing {
  readonly workerId: string;
  /** Differs for each incarnation of the worker, even if its id stays the same. */
  readonly incarnation: number;
  readonly hostId: string;
  readonly pool: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** Reading of the worker's monotonic clock when it registered. */
  readonly clockMilliseconds: number | null;
}

/** A run that a worker reports as in progress. */
export interface RunningReport {
  readonly task: TaskKey;
  readonly run: number;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Current speed of the run in percent of its full speed. */
  readonly percent: number;
  /** Tail of response times in milliseconds if the run serves requests, else thousandths of a core in use. */
  readonly load: number | null;
}

/** A run that a worker reports as ended. */
export interface EndedReport {
  /** Sequence number of the end; rises by one within an incarnation of a worker. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Answer of a worker to the renewal of its lease. */
export interface WorkerReport {
  readonly incarnation: number;
  readonly clockMilliseconds: number;
  readonly running: readonly RunningReport[];
  readonly ended: readonly EndedReport[];
  /** False if the worker may hold further ends than those listed; then a run that is not listed may have ended. */
  readonly isComplete: boolean;
}

/** Entry of one host in the platform's list of hosts. */
export interface HostListing {
  readonly hostId: string;
  readonly pool: string;
  readonly state: 'up' | 'moving' | 'upkeep' | 'down';
  readonly dataCentre: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** The worker that the host runs; null for none. */
  readonly workerId: string | null;
}
