/** Workers: one life of a host as the place where tasks run. */
import type { RunEnd, TaskKey } from './job.js';
import type { Resources } from './resources.js';

/** What the register of workers says of one worker. */
export interface WorkerListing {
  readonly workerId: string;
  /** Differs for each life of the worker, also where the id stays. */
  readonly incarnation: number;
  readonly hostId: string;
  readonly pool: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly isDraining: boolean;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** Reading of the worker's steady clock when it registered. */
  readonly clockMilliseconds: number | null;
}

/** A run that a worker lists as going on. */
export interface RunningReport {
  readonly task: TaskKey;
  readonly run: number;
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string;
  /** Share of full speed at which the run works. */
  readonly percent: number;
  /** Tail of response times in milliseconds for a run that serves, else thousandths of a core in use. */
  readonly load: number | null;
}

/** A run that a worker lists as ended. */
export interface EndedReport {
  /** Rises by one with each end in one life of a worker. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** What a worker answers when its lease is renewed. */
export interface WorkerReport {
  readonly incarnation: number;
  readonly clockMilliseconds: number;
  readonly running: readonly RunningReport[];
  readonly ended: readonly EndedReport[];
}

/** What the platform's list of hosts says of one host. */
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
