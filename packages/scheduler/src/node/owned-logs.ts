/** Opens owners for the logs that the store deals to this process, and closes them when it deals them away. */
import type { FleetOwner } from '../fleet/fleet-owner.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { LogPartition } from '../ports/index.js';
import { isSamePartition, partitionKey, serviceOfSubject, type Layout } from './layout.js';
import type { SteadyClock } from './steady-clock.js';

/** Time after which a claim that was superseded is tried again, if the log is still dealt to this process. */
const RECLAIM_PAUSE_MILLISECONDS = 1_000;

/** What opening needs. */
export interface OwnedLogsParts {
  readonly clock: SteadyClock;
  readonly layout: () => Layout;
  readonly openService: (
    place: LogPartition,
    service: string,
    onGivenUp: (claimsAgain: boolean) => void,
  ) => ServiceOwner;
  readonly openFleet: (place: LogPartition, onSuperseded: () => void) => FleetOwner;
  /** Calls back where no other process serves the fleet. */
  readonly whenFleetIsVacant: (place: LogPartition, onVacant: () => void) => void;
}

/** The logs that this process owns. */
export interface OwnedLogs {
  readonly services: () => readonly ServiceOwner[];
  readonly serviceOf: (service: string) => ServiceOwner | null;
  readonly fleet: () => FleetOwner | null;
  readonly has: (place: LogPartition) => boolean;
  /** Works with the places dealt; resolves once those that were taken away are given up. */
  readonly follow: (places: readonly LogPartition[]) => Promise<void>;
  /** Gives the fleet up if it is dealt to another process and this one owns a service beside it. */
  readonly handFleetOver: () => void;
  /** Gives everything up, the fleet too. */
  readonly giveUp: () => Promise<void>;
  /** Gives everything up, and opens nothing any more. */
  readonly stop: () => Promise<void>;
}

/** Creates the logs of a process that owns none yet. */
export function createOwnedLogs(parts: OwnedLogsParts): OwnedLogs {
  const { clock, layout, openService, openFleet, whenFleetIsVacant } = parts;
  const owners = new Map<string, ServiceOwner>();
  const supersededAt = new Map<string, number>();
  let dealt: readonly LogPartition[] = [];
  let fleet: FleetOwner | null = null;
  let stopping = false;

  const isDealt = (place: LogPartition): boolean => dealt.some((one) => isSamePartition(one, place));

  /** An owner that is stopping may hear of its own successor here: only the owner itself is forgotten. */
  const forget = (owner: ServiceOwner | FleetOwner): void => {
    if (fleet === owner) fleet = null;
    if (owners.get(partitionKey(owner.place)) === owner) owners.delete(partitionKey(owner.place));
  };

  const noteSuperseded = (owner: ServiceOwner | FleetOwner): void => {
    supersededAt.set(partitionKey(owner.place), clock.steadyNow());
    forget(owner);
  };

  const giveUpServices = async (isLost: (owner: ServiceOwner) => boolean): Promise<void> => {
    const lost = [...owners.values()].filter(isLost);
    await Promise.all(
      lost.map(async (owner) => {
        await owner.stop();
        forget(owner);
      }),
    );
  };

  const giveUpFleet = async (): Promise<void> => {
    const lost = fleet;
    if (lost === null) return;
    await lost.stop();
    forget(lost);
  };

  const claimFleet = (place: LogPartition): void => {
    if (fleet !== null || stopping || !isDealt(place)) return;
    const opened = openFleet(place, () => noteSuperseded(opened));
    fleet = opened;
  };

  const open = (subject: string, place: LogPartition): void => {
    const service = serviceOfSubject(subject);
    const reclaimAt = (supersededAt.get(partitionKey(place)) ?? -Infinity) + RECLAIM_PAUSE_MILLISECONDS;
    if (clock.steadyNow() <= reclaimAt) return;
    if (service === null) {
      if (fleet === null) whenFleetIsVacant(place, () => claimFleet(place));
    } else if (!owners.has(partitionKey(place))) {
      const opened = openService(place, service, (claimsAgain) => {
        if (claimsAgain) forget(opened);
        else noteSuperseded(opened);
        if (claimsAgain && !stopping) open(subject, place);
      });
      owners.set(partitionKey(place), opened);
    }
  };

  const follow = async (places: readonly LogPartition[]): Promise<void> => {
    dealt = places;
    // The fleet stays here: whomever it is dealt to leaves it with the process that serves it.
    await giveUpServices((owner) => !isDealt(owner.place));
    if (stopping) return;
    [...layout()].filter(([, place]) => isDealt(place)).forEach(([subject, place]) => open(subject, place));
  };

  const giveUp = async (): Promise<void> => {
    dealt = [];
    await giveUpServices(() => true);
    await giveUpFleet();
  };

  return {
    services: () => [...owners.values()],
    serviceOf: (service) => [...owners.values()].find((owner) => owner.service === service) ?? null,
    fleet: () => fleet,
    has: (place) =>
      owners.has(partitionKey(place)) || (fleet !== null && isSamePartition(fleet.place, place)),
    follow,
    handFleetOver: () => {
      if (fleet !== null && owners.size > 0 && !isDealt(fleet.place)) void giveUpFleet();
    },
    giveUp,
    stop: async () => {
      stopping = true;
      await giveUp();
    },
  };
}
