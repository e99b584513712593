/** Settings of a scheduler process, read at its start. */
import type { FleetParameters, SchedulingParameters } from '@baobabdeck/scheduling';

/** Whether an owner uses relays: while its processor is short, never, or always. */
export type RelayMode = 'on' | 'off' | 'always';

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
  /** Whether orders to workers may go through other processes; `on` if absent. */
  readonly relays?: RelayMode | undefined;
  readonly scheduling: SchedulingParameters;
  readonly fleet: FleetParameters;
}
