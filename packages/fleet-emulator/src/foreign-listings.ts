/** Entries of the register that the decoder accepts although no worker stands behind them. */
import type { WorkerListing } from '@baobabdeck/scheduling';

const SOUND_VALUES: Omit<WorkerListing, 'workerId' | 'pool'> = {
  incarnation: 1,
  hostId: 'no-host',
  address: 'nobody',
  dataCentre: 'west',
  isDraining: false,
  capacity: { milliCores: 16_000, memoryMegabytes: 65_536, accelerators: 0 },
  labels: ['plain', 'rack-0'],
  rack: 'rack-0',
  clockMilliseconds: 0,
};

/** Returns entries with names that objects have, and with the largest and smallest numbers that are accepted. */
export function foreignListings(pool: string): readonly WorkerListing[] {
  const huge = Number.MAX_SAFE_INTEGER;
  return [
    {
      ...SOUND_VALUES,
      pool,
      workerId: '__proto__',
      labels: ['__proto__', 'constructor'],
      rack: 'constructor',
    },
    {
      ...SOUND_VALUES,
      pool,
      workerId: `${pool}-huge`,
      incarnation: huge,
      clockMilliseconds: huge,
      capacity: { milliCores: huge, memoryMegabytes: huge, accelerators: huge },
    },
    {
      ...SOUND_VALUES,
      pool,
      workerId: `${pool}-empty`,
      capacity: { milliCores: 0, memoryMegabytes: 0, accelerators: 0 },
    },
  ];
}
