/** The platform's view of hosts in virtual time: their list, their use, their reboots and their tasks. */
import type { Schedule } from './schedule.js';
import type { VirtualHost } from './virtual-host.js';
import { dateAt, type VirtualProcess } from './virtual-process.js';
import type { VirtualTasks } from './virtual-tasks.js';

const POLL_MILLISECONDS = 1_000;
const HOST_LIST_LAG_MILLISECONDS = 1_000;

/** Dependencies of the host service. */
export interface VirtualHostServiceParts {
  readonly schedule: Schedule;
  readonly latencyMilliseconds: number;
  readonly rebootMilliseconds: number;
  readonly hosts: ReadonlyMap<string, VirtualHost>;
  readonly tasks: VirtualTasks;
}

/** The host service. */
export interface VirtualHostService {
  readonly readUsage: (process: VirtualProcess, hostIds: readonly string[]) => void;
  readonly reboot: (hostId: string) => void;
  /** Reads the changes of the list of hosts, and the tasks, for as long as the process lives. */
  readonly poll: (process: VirtualProcess) => void;
}

/** Creates the host service. */
export function createVirtualHostService(parts: VirtualHostServiceParts): VirtualHostService {
  const { schedule, latencyMilliseconds: latency, rebootMilliseconds, hosts, tasks } = parts;

  const readUsage = (process: VirtualProcess, hostIds: readonly string[]): void => {
    schedule.after(latency, () => {
      const asOf = dateAt(schedule.now());
      const usage = hostIds.map((hostId) => ({ hostId, runningRequests: hosts.get(hostId)?.running() ?? 0 }));
      schedule.after(latency, () => process.dispatch({ kind: 'usage-read', asOf, usage }));
    });
  };

  const reboot = (hostId: string): void => {
    const host = hosts.get(hostId);
    if (host === undefined || host.presence === 'failed') return;
    host.stop(true);
    schedule.after(rebootMilliseconds, host.boot);
  };

  const pollHosts = (process: VirtualProcess, known: ReadonlyMap<string, string> = new Map()): void => {
    if (!process.isAlive()) return;
    const asOf = dateAt(schedule.now());
    const seen = new Map(
      [...hosts.values()].map((host) => [host.hostId, `${host.presence} ${host.bootedAt}`]),
    );
    const listed = [...hosts.values()]
      .filter((host) => known.get(host.hostId) !== seen.get(host.hostId))
      .map(({ hostId, presence, bootedAt }) => ({ hostId, presence, bootedAt: dateAt(bootedAt) }));
    schedule.after(HOST_LIST_LAG_MILLISECONDS, () =>
      process.dispatch({ kind: 'host-list-read', asOf, hosts: listed }),
    );
    const listing = tasks.list();
    schedule.after(latency, () => process.dispatch({ kind: 'tasks-read', tasks: listing }));
    schedule.after(POLL_MILLISECONDS, () => pollHosts(process, seen));
  };

  return { readUsage, reboot, poll: (process) => pollHosts(process) };
}
