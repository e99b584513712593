/** Settings of a scheduler process, read at its start. */
import type { FleetParameters, SchedulingParameters } from '@baobabdeck/scheduling';

/** Whether an owner uses relays: while its processor is short, never, or always. */
export type RelayMode = 'on' | 'off' | 'always';

/** How long a process relies on a configuration that it cannot read again. */
export interface RevocationSettings {
  /** Whether calls that need a key are refused once the configuration is older than the maximum age. */
  readonly isStrict: boolean;
  /** Time since the configuration was last read. */
  readonly maximumAgeMilliseconds: number;
}

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
  readonly revocation: RevocationSettings;
  readonly scheduling: SchedulingParameters;
  readonly fleet: FleetParameters;
}
