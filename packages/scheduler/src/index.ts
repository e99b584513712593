/** The scheduler process; the platform is passed in through the interfaces in `ports`. */
export { startNode, type NodeParts, type SchedulerNode } from './node/node.js';
export { SCHEDULER_GROUP } from './node/membership.js';
export type { RelayMode, RevocationSettings, SchedulerSettings } from './node/settings.js';
export { digestKey } from './frontend/key-digest.js';
export { decodeRecord, encodeRecord } from './owner/record-codec.js';
export { createTcpNetwork } from './peers/tcp-network.js';
export { machineClock, type SteadyClock } from './node/steady-clock.js';
export { warmUp, type WarmUpParts } from './warm-up/warm-up.js';
export { startRelays, type Relays } from './relays/relays.js';
export { formatMember, parseMember, type GroupMember } from './node/group-member.js';
export { measureStore } from './measure/measured-store.js';
export { NO_MEASURES } from './measure/no-measures.js';
export { measureWorkers } from './measure/measured-workers.js';
export { createBackgroundWork, createErrorReporter } from './unexpected-errors/index.js';
export * from './ports/index.js';
