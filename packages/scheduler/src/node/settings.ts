/** What a scheduler's process is told at its start. */
import type { FleetParameters, SchedulingParameters } from '@baobabdeck/scheduling';

/** Settings of one process. */
export interface SchedulerSettings {
  readonly nodeName: string;
  readonly dataCentre: string;
  /** Processor that this process may use, in thousandths of a core; 0 where that is not known. */
  readonly milliCores: number;
  readonly ip: string;
  /** The port for peers. */
  readonly peerPort: number;
  /** The port for metrics; null serves none. */
  readonly metricsPort: number | null;
  /** Time that a stop may take. */
  readonly graceMilliseconds: number;
  readonly scheduling: SchedulingParameters;
  readonly fleet: FleetParameters;
}
