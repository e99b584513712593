/** The program `baobabdeck-target-stub`: the slots of each host, then the hosts' names. */
import { startTargetStub } from './server.js';

const DEFAULT_SLOTS = 8;
const [slots, ...hostIds] = process.argv.slice(2);
const targets = await Promise.all(
  hostIds.map((hostId) => startTargetStub(hostId, Number(slots ?? DEFAULT_SLOTS))),
);
const addresses = Object.fromEntries(targets.map((target) => [target.hostId, `127.0.0.1:${target.port}`]));
process.stdout.write(`${JSON.stringify(addresses)}\n`);
const stop = (): void => {
  targets.forEach((target) => target.close());
  process.exit(0);
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
