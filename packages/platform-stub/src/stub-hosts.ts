/** Hosts and tasks of the stand-in platform, seen with a lag. */
import type { HostPresence, JobEnd } from '@baobabdeck/types';

/** A host of the stand-in. */
export interface StubHost {
  readonly hostId: string;
  readonly address: string;
  readonly presence: HostPresence;
  readonly bootedAt: Date;
  /** When the host last changed. */
  readonly changedAt: Date;
}

/** A task of the stand-in. */
export interface StubTask {
  readonly leaseId: string;
  readonly jobId: string;
  readonly hostId: string;
  readonly state: 'running' | JobEnd;
}

/** The host list as it was at a time. */
export interface HostListView {
  readonly asOf: Date;
  readonly hosts: readonly StubHost[];
}

/** Keeps the hosts, and the lists that are still to be shown. */
export interface StubHosts {
  readonly set: (host: Omit<StubHost, 'changedAt'>) => void;
  readonly get: (hostId: string) => StubHost | undefined;
  /** The newest list that is at least `lagMilliseconds` old. */
  readonly view: (lagMilliseconds: number) => HostListView;
}

/** Creates an empty list. */
export function createStubHosts(): StubHosts {
  const hosts = new Map<string, StubHost>();
  let changes: HostListView[] = [{ asOf: new Date(0), hosts: [] }];
  return {
    set: (host) => {
      hosts.set(host.hostId, { ...host, changedAt: new Date() });
      changes.push({ asOf: new Date(), hosts: [...hosts.values()] });
    },
    get: (hostId) => hosts.get(hostId),
    view: (lagMilliseconds) => {
      const asOf = new Date(Date.now() - lagMilliseconds);
      const visible = changes.filter((change) => change.asOf <= asOf);
      const newest = visible.at(-1) ?? changes[0];
      changes = changes.filter((change) => change.asOf > asOf || change === newest);
      return { asOf, hosts: newest?.hosts ?? [] };
    },
  };
}
