/** Runs a trace through the real reducer in virtual time. */
import {
  createEmulator,
  fleetOf,
  requestOf,
  type EmulatedPool,
  type Emulator,
  type EmulatorOptions,
} from '@baobabdeck/emulator';
import { SLOTS_PER_HOST } from './users.js';
import type { Arrival } from './trace.js';

/** Time before the first arrival, for the processes to find each other. */
export const WARM_UP_MILLISECONDS = 6_000;

/** A system of a user's size, ready for requests. */
export function startEmulatedSystem(
  seed: number,
  gateways: number,
  pools: readonly EmulatedPool[],
  options: Partial<EmulatorOptions> = {},
): Emulator {
  const emulator = createEmulator({
    seed,
    gateways,
    controllers: 3,
    changes: fleetOf(pools),
    slotsPerHost: SLOTS_PER_HOST,
    ...options,
  });
  emulator.schedule.runUntil(WARM_UP_MILLISECONDS);
  return emulator;
}

/** Submits every arrival of a trace to a service at its time. */
export function submitTrace(emulator: Emulator, service: string, trace: readonly Arrival[]): void {
  const gatewayIds = emulator.gatewayIds();
  trace.forEach((arrival) => {
    emulator.schedule.after(arrival.atMilliseconds, () => {
      const description = requestOf(arrival.id, service, {
        caller: arrival.caller,
        workKind: `GET ${service}/${arrival.isLong ? 'rebuild' : 'quote'}`,
        deadlineMilliseconds: 600_000,
      });
      const gatewayId = gatewayIds[arrival.gateway % gatewayIds.length] ?? '';
      emulator.submit(gatewayId, {
        description,
        runMilliseconds: arrival.runMilliseconds,
        workId: arrival.id,
      });
    });
  });
}

/** Waits of the arrivals that started, in milliseconds. */
export function waitsOf(emulator: Emulator, trace: readonly Arrival[]): readonly number[] {
  return trace.flatMap(({ id }) => {
    const answer = emulator.answers.get(id);
    return answer?.startedAt === undefined || answer.startedAt === null
      ? []
      : [answer.startedAt - answer.arrivedAt];
  });
}
