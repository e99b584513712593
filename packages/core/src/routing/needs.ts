/** Matches the capabilities that a request needs with what a host's hardware has. */
import type { CapabilityNeed, HardwareSection } from '@baobabdeck/types';

function quantityOf(hardware: HardwareSection, name: 'cores' | 'memory-gb' | 'gpu'): number {
  if (name === 'cores') return hardware.cores;
  return name === 'gpu' ? hardware.accelerators : hardware.memoryGigabytes;
}

function meets(hardware: HardwareSection, need: CapabilityNeed): boolean {
  if (need.kind === 'quantity') return quantityOf(hardware, need.name) >= need.minimum;
  return (hardware.features[need.name] ?? 0) >= need.minimumVersion;
}

/** Whether hardware has everything that is needed. */
export function meetsAll(hardware: HardwareSection, needs: readonly CapabilityNeed[]): boolean {
  return needs.every((need) => meets(hardware, need));
}

/** One need as it stands in the header. */
export function describeNeed(need: CapabilityNeed): string {
  return need.kind === 'quantity' ? `${need.name}>=${need.minimum}` : `${need.name}>=${need.minimumVersion}`;
}

/** A name that equal sets of needs share, whatever their order. */
export function needsKey(needs: readonly CapabilityNeed[]): string {
  return needs.map(describeNeed).sort().join(',');
}
