/** Settings of a scheduler process, read at its start. */
import type { FleetParameters, SchedulingParameters } from '@baobabdeck/scheduling';

/** Settings of one process. */
export interface SchedulerSettings {
  readonly nodeName: string;
  readonly dataCentre: string;
  /** Processor capacity that this process may use, in thousandths of a core; 0 if unknown. */
  readonly milliCores: number;
  readonly ip: string;
  /** The port for peers. */
  readonly peerPort: number;
  /** The port for metrics; null serves none. */
  readonly metricsPort: number | null;
  /** Time that a graceful stop may take. */
  readonly graceMilliseconds: number;
  readonly scheduling: SchedulingParameters;
  readonly fleet: FleetParameters;
}
