/** The platform's host service: lists hosts, moves them between pools and takes them into maintenance. */
import type { HostListing, HostOrderOutcome } from '@baobabdeck/scheduling';

/** The result of listing the hosts. */
export type HostListOutcome =
  | { readonly kind: 'listed'; readonly hosts: readonly HostListing[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** The fields of every order to a host: the host, the owner that gives the order, and its fencing epoch. */
export interface HostOrderBase {
  readonly hostId: string;
  readonly holder: string;
  readonly fencingEpoch: number;
}

/** The host service. No method throws. */
export interface HostService {
  readonly list: () => Promise<HostListOutcome>;
  readonly move: (order: HostOrderBase & { readonly pool: string }) => Promise<HostOrderOutcome>;
  readonly maintain: (order: HostOrderBase & { readonly wave: number }) => Promise<HostOrderOutcome>;
}
