/** Both users at the sizes of their brief. */
import type { EmulatedPool } from '@baobabdeck/emulator';

/** One user's fleet. */
export interface UserFleet {
  readonly user: string;
  readonly gateways: number;
  readonly pools: readonly EmulatedPool[];
}

function poolOf(name: string, hosts: number): EmulatedPool {
  const SLOTS_PER_HOST = 8;
  const RESERVED_SHARE = 0.25;
  return {
    name,
    hosts,
    pool: { slotsReservedForShort: Math.round(hosts * SLOTS_PER_HOST * RESERVED_SHARE) },
  };
}

/** Colla Ateneo: five pools of eight workers. */
export const COLLA_ATENEO: UserFleet = {
  user: 'colla-ateneo',
  gateways: 7,
  pools: ['luthier', 'recipe', 'bookbinder', 'restorer', 'office'].map((name) => poolOf(name, 8)),
};

/** Mtskheta: five pools of six to nine workers. */
export const MTSKHETA: UserFleet = {
  user: 'mtskheta',
  gateways: 6,
  pools: [
    poolOf('kutaisi-desk', 8),
    poolOf('batumi', 9),
    poolOf('tbilisi-social', 7),
    poolOf('paediatric', 6),
    poolOf('helpers', 6),
  ],
};

/** Both users. */
export const USERS: readonly UserFleet[] = [COLLA_ATENEO, MTSKHETA];

/** Slots of every host. */
export const SLOTS_PER_HOST = 8;
