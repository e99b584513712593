/** Starts owners for the inboxes that the store assigns to this process, and stops them when they are assigned elsewhere. */
import type { FleetOwner } from '../fleet/fleet-owner.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { LogPartition } from '../ports/index.js';
import { isSamePartition, partitionKey, serviceOfSubject, type Layout } from './layout.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

/** Pause before a superseded claim is made again, if the inbox is still assigned to this process. */
const RECLAIM_PAUSE_MILLISECONDS = 1_000;

/** Time between two checks whether all services have been claimed by other processes. */
const HANDOVER_CHECK_MILLISECONDS = 50;

/** Dependencies of the owned logs. */
export interface OwnedLogsParts {
  readonly clock: SteadyClock;
  readonly background: BackgroundWork;
  readonly layout: () => Layout;
  readonly openServiceOwner: (
    inbox: LogPartition,
    service: string,
    onGivenUp: (claimsAgain: boolean) => void,
  ) => ServiceOwner;
  readonly openFleetOwner: (inbox: LogPartition, onSuperseded: () => void) => FleetOwner;
  /** Calls `onVacant` if no other process serves the fleet. */
  readonly awaitVacantFleet: (inbox: LogPartition, onVacant: () => void) => void;
}

/** The service owners and the fleet owner that run in this process. */
export interface OwnedLogs {
  readonly services: () => readonly ServiceOwner[];
  readonly serviceOf: (service: string) => ServiceOwner | null;
  readonly fleet: () => FleetOwner | null;
  readonly has: (inbox: LogPartition) => boolean;
  /**
   * Starts owners for newly assigned inboxes. An owner whose inbox is revoked serves on until the next one has claimed it,
   * so that no lease runs out in between.
   */
  readonly applyAssignment: (inboxes: readonly LogPartition[]) => Promise<void>;
  /** Gives up the fleet if it is assigned to another process and this one also owns a service. */
  readonly handOverFleet: () => void;
  /** Gives up the fleet and all unfinished claims; owners of services serve on until the next ones have claimed them. */
  readonly handOver: () => Promise<void>;
  /** Starts no owner any more, and hands over what is owned. */
  readonly prepareStop: () => Promise<void>;
  /** Gives up the services that no other process has claimed by a time on the steady clock. */
  readonly stop: (until: number) => Promise<void>;
}

/** Whether an owner has claimed its service and has not been superseded. */
function isServing(owner: ServiceOwner): boolean {
  return owner.state() !== null;
}

/** Creates the owned logs of a process, at first empty. */
export function createOwnedLogs(parts: OwnedLogsParts): OwnedLogs {
  const { clock, background, layout, openServiceOwner, openFleetOwner, awaitVacantFleet } = parts;
  const owners = new Map<string, ServiceOwner>();
  const supersededAt = new Map<string, number>();
  let assigned: readonly LogPartition[] = [];
  let fleet: FleetOwner | null = null;
  let stopping = false;

  const isAssigned = (candidate: LogPartition): boolean =>
    assigned.some((inbox) => isSamePartition(inbox, candidate));

  /** Removes an owner, but not a successor: a stopping owner may report only after its successor was started here. */
  const forget = (owner: ServiceOwner | FleetOwner): void => {
    if (fleet === owner) fleet = null;
    if (owners.get(partitionKey(owner.inbox)) === owner) owners.delete(partitionKey(owner.inbox));
  };

  const recordSuperseded = (owner: ServiceOwner | FleetOwner): void => {
    supersededAt.set(partitionKey(owner.inbox), clock.steadyNow());
    forget(owner);
  };

  const giveUpServices = async (isRevoked: (owner: ServiceOwner) => boolean): Promise<void> => {
    const revoked = [...owners.values()].filter(isRevoked);
    await Promise.all(
      revoked.map(async (owner) => {
        await owner.stop();
        forget(owner);
      }),
    );
  };

  const giveUpFleet = async (): Promise<void> => {
    const owner = fleet;
    if (owner === null) return;
    await owner.stop();
    forget(owner);
  };

  const claimFleet = (inbox: LogPartition): void => {
    if (fleet !== null || stopping || !isAssigned(inbox)) return;
    const opened = openFleetOwner(inbox, () => recordSuperseded(opened));
    fleet = opened;
  };

  const open = (subject: string, inbox: LogPartition): void => {
    const service = serviceOfSubject(subject);
    const reclaimAt = (supersededAt.get(partitionKey(inbox)) ?? -Infinity) + RECLAIM_PAUSE_MILLISECONDS;
    if (clock.steadyNow() <= reclaimAt) return;
    if (service === null) {
      if (fleet === null) awaitVacantFleet(inbox, () => claimFleet(inbox));
    } else if (!owners.has(partitionKey(inbox))) {
      const opened = openServiceOwner(inbox, service, (claimsAgain) => {
        if (claimsAgain) forget(opened);
        else recordSuperseded(opened);
        if (claimsAgain && !stopping && isAssigned(inbox)) open(subject, inbox);
      });
      owners.set(partitionKey(inbox), opened);
    }
  };

  const applyAssignment = async (inboxes: readonly LogPartition[]): Promise<void> => {
    assigned = inboxes;
    // A revoked fleet inbox is not given up: the process it is now assigned to leaves the fleet with its current owner.
    await giveUpServices((owner) => !isAssigned(owner.inbox) && !isServing(owner));
    if (stopping) return;
    [...layout()]
      .filter(([, inbox]) => isAssigned(inbox))
      .forEach(([subject, inbox]) => open(subject, inbox));
  };

  const handOver = async (): Promise<void> => {
    assigned = [];
    await giveUpServices((owner) => !isServing(owner));
    await giveUpFleet();
  };

  const stop = async (until: number): Promise<void> => {
    while (owners.size > 0 && clock.steadyNow() < until) await clock.sleep(HANDOVER_CHECK_MILLISECONDS);
    await giveUpServices(() => true);
  };

  return {
    services: () => [...owners.values()],
    serviceOf: (service) => [...owners.values()].find((owner) => owner.service === service) ?? null,
    fleet: () => fleet,
    has: (inbox) =>
      owners.has(partitionKey(inbox)) || (fleet !== null && isSamePartition(fleet.inbox, inbox)),
    applyAssignment,
    handOverFleet: () => {
      if (fleet === null || owners.size === 0 || isAssigned(fleet.inbox)) return;
      background.start('give-up-fleet', giveUpFleet);
    },
    handOver,
    prepareStop: async () => {
      stopping = true;
      await handOver();
    },
    stop,
  };
}
