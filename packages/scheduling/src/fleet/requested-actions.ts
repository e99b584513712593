/** Requested host actions: services drain the hosts, then the orders begin. */
import type { FleetEventOf } from './event.js';
import { beginOrder, earlierOrdersExpireAt, mayOrder, setHost } from './orders.js';
import type { FleetState, HostAction, HostState } from './state.js';
import { updateFleet, updateHost } from './update.js';
import { mayBeginRequestedAction } from './wave-places.js';

/** Time after which the request to move a host that is still busy is dropped. */
const MOVE_REQUEST_TIMEOUT_MILLISECONDS = 4_000;

/** Processes a service's report: begins the orders on hosts whose worker, as the platform lists it, is released. */
export function handleServiceReported(
  state: FleetState,
  { report }: FleetEventOf<'service-reported'>,
): FleetState {
  const known = state.reports.get(report.service);
  let next: FleetState = updateFleet(state, {
    reports: state.reports.set(report.service, {
      report,
      receivedAt: state.now,
      surplusSince: known?.surplusSince ?? null,
      peak: known?.peak ?? null,
    }),
  });
  if (!mayOrder(next)) return next;
  for (const { hostId, workerId, release } of report.hosts) {
    const host = next.hosts.get(hostId);
    const isReady =
      host?.requestedAction != null &&
      host.order === null &&
      host.cooldownUntil <= next.now &&
      host.listing.pool === report.service &&
      host.listing.workerId === workerId;
    if (isReady && release === 'released' && mayBeginRequestedAction(next, host)) {
      next = beginOrder(next, host, host.requestedAction.what);
    }
  }
  return next;
}

/** Drops requested moves that take too long, and requests for hosts that are no longer up. */
export function dropStaleRequests(state: FleetState): FleetState {
  let next = state;
  for (const host of state.hosts.values()) {
    const { requestedAction, listing } = host;
    const isTooOld =
      requestedAction?.what.kind === 'move' &&
      state.now - requestedAction.since > MOVE_REQUEST_TIMEOUT_MILLISECONDS;
    if (requestedAction !== null && (isTooOld || listing.state !== 'up')) {
      next = setHost(next, updateHost(host, { requestedAction: null }));
    }
  }
  return next;
}

/** Requests to one service: hosts that it must drain, and hosts that it may use again. */
export interface ServiceHostRequests {
  readonly releases: readonly { readonly hostId: string; readonly purpose: 'move' | 'maintenance' }[];
  readonly returns: readonly string[];
}

/** Returns whether a released host is still needed for an order that was sent or will be. */
function isStillNeeded(state: FleetState, host: HostState): boolean {
  return (
    host.requestedAction !== null || host.order !== null || state.inheritedOrders.has(host.listing.hostId)
  );
}

/** Returns whether an action takes a host away from a service, at least for some time. */
function isTakenFrom(service: string, what: HostAction): boolean {
  return what.kind === 'maintain' || what.pool !== service;
}

/** Returns the host requests for one service. A host that has arrived by a move to the service is not drained for it. */
export function selectServiceHostRequests(state: FleetState, service: string): ServiceHostRequests {
  const releases = [...state.hosts.values()].flatMap(({ listing, requestedAction, order }) => {
    const what = requestedAction?.what ?? order?.what;
    if (listing.pool !== service || what === undefined || !isTakenFrom(service, what)) return [];
    const purpose = what.kind === 'move' ? ('move' as const) : ('maintenance' as const);
    return [{ hostId: listing.hostId, purpose }];
  });
  const reported = state.reports.get(service)?.report.hosts ?? [];
  const isSettled = state.listedAt !== null && state.now > earlierOrdersExpireAt(state);
  const returns = reported.flatMap(({ hostId, release }) => {
    const host = state.hosts.get(hostId);
    const isOurs = host !== undefined && host.listing.pool === service;
    return isSettled && release !== null && isOurs && !isStillNeeded(state, host) ? [hostId] : [];
  });
  return { releases, returns };
}
