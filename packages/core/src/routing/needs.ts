/** Matches the capability needs of requests against the hardware of hosts. */
import type { CapabilityNeed, HardwareSection } from '@baobabdeck/types';

function quantityOf(hardware: HardwareSection, name: 'cores' | 'memory-gb' | 'gpu'): number {
  if (name === 'cores') return hardware.cores;
  return name === 'gpu' ? hardware.accelerators : hardware.memoryGigabytes;
}

function meets(hardware: HardwareSection, need: CapabilityNeed): boolean {
  if (need.kind === 'quantity') return quantityOf(hardware, need.name) >= need.minimum;
  return (hardware.features[need.name] ?? 0) >= need.minimumVersion;
}

/** Returns whether the hardware meets all needs. */
export function meetsAll(hardware: HardwareSection, needs: readonly CapabilityNeed[]): boolean {
  return needs.every((need) => meets(hardware, need));
}

/** Formats a need as in the request header. */
export function describeNeed(need: CapabilityNeed): string {
  return need.kind === 'quantity' ? `${need.name}>=${need.minimum}` : `${need.name}>=${need.minimumVersion}`;
}

/** Returns a key that is equal for equal sets of needs, independent of their order. */
export function needsKey(needs: readonly CapabilityNeed[]): string {
  return needs.map(describeNeed).sort().join(',');
}
