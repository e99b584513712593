/** The platform's service for hosts: the list, moves between pools, and maintenance. */
import type { HostListing, HostOrderOutcome } from '@baobabdeck/scheduling';

/** How a list of hosts ended. */
export type HostListOutcome =
  | { readonly kind: 'listed'; readonly hosts: readonly HostListing[] }
  | { readonly kind: 'failed'; readonly detail: string };

/** Who gives an order on a host. */
export interface HostOrderBase {
  readonly hostId: string;
  readonly holder: string;
  readonly fencingEpoch: number;
}

/** The service for hosts. No method throws. */
export interface HostService {
  readonly list: () => Promise<HostListOutcome>;
  readonly move: (order: HostOrderBase & { readonly pool: string }) => Promise<HostOrderOutcome>;
  readonly maintain: (order: HostOrderBase & { readonly wave: number }) => Promise<HostOrderOutcome>;
}
