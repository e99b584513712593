/** Rules on orders on hosts and on waves. */
import type { WorkerObserver } from './observer.js';
import type { HostObserver } from './model-fleet.js';
import type { HostRules, RefereeParts } from './referee-types.js';
import type { Sightings } from './sightings.js';

/** Time between the orders of two holders on one host. */
const HOLDER_LEASE_MILLISECONDS = 3_000;

/** Creates the rules; a host that is taken ends what runs on it by an order, like a stop. */
export function createHostRules(
  { time, hosts }: RefereeParts,
  { report }: Sightings,
  onStop: WorkerObserver['onStop'],
): HostRules {
  const holders = new Map<string, { readonly holder: string; readonly token: number; readonly at: number }>();
  const waves = new Map<number, { readonly hostIds: readonly string[]; readonly maximumDown: number }>();

  const checkHostTaken: HostObserver['onHostTaken'] = (host, _holder, _token, wave) => {
    host.worker?.runs().forEach((run) => {
      if (host.worker !== null) onStop(host.worker, run.task, run.run);
    });
    const asked = wave === null ? undefined : waves.get(wave);
    if (wave === null || asked === undefined) return;
    const down = asked.hostIds.filter((hostId) => {
      const one = hosts().get(hostId);
      return one?.state === 'upkeep' && one.downFor === wave;
    });
    if (down.length >= asked.maximumDown) {
      report('wave-within-limit', `${host.hostId} goes down while ${down.length} others of wave ${wave} are`);
    }
  };

  const checkHolder: HostObserver['onHostOrdered'] = (host, holder, token) => {
    const last = holders.get(host.hostId);
    if (last !== undefined && last.holder !== holder) {
      if (last.token === token) {
        report('one-holder-a-host', `${host.hostId}: two holders with token ${token}`);
      }
      if (time.now() - last.at < HOLDER_LEASE_MILLISECONDS) {
        report('one-holder-a-host', `${host.hostId}: ${last.holder} and ${holder} take turns`);
      }
    }
    holders.set(host.hostId, { holder, token, at: time.now() });
  };

  return {
    onHostTaken: checkHostTaken,
    onHostOrdered: checkHolder,
    onWaveAsked: (wave, hostIds, maximumDown) => {
      waves.set(wave, { hostIds, maximumDown });
    },
    onWaveCompleted: (wave) => {
      const left = waves
        .get(wave)
        ?.hostIds.filter((hostId) => hosts().get(hostId)?.begunWaves.has(wave) === false);
      if (left !== undefined && left.length > 0) {
        report('wave-truly-completed', `wave ${wave} is told completed and ${left[0]} has not begun`);
      }
    },
  };
}
