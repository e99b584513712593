/** Plays callers whose keys are added and removed among random troubles, and checks which keys are accepted. */
import { digestKey, type CallerService, type QueueConfiguration } from '@baobabdeck/scheduler';
import { NO_CAP } from '@baobabdeck/scheduling';
import { beginTrouble, type TroubleKind } from './troubles.js';
import { createWorld, type World } from './world.js';

/** Time within which a version must be in force, from its acknowledgement by the store. */
const APPLY_MILLISECONDS = 3_000;

/** Time after the last trouble from which on every process can read the store. */
const RECOVERY_MILLISECONDS = 8_000;

const LEAD_MILLISECONDS = 6_000;
const CALL_EVERY_MILLISECONDS = 40;
const CHANGE_EVERY_MILLISECONDS = 4_000;
const TROUBLE_EVERY_MILLISECONDS = 2_500;

/** A key and the time from and until which the published configuration held it. */
interface PublishedKey {
  readonly key: string;
  readonly addedAt: number;
  removedAt: number;
}

/** What to play. */
export interface KeyPlayOptions {
  readonly seed: number;
  readonly busyMilliseconds: number;
  readonly kinds: readonly TroubleKind[];
  /** Changes the authentication of a process, for plays of a faulty one. */
  readonly alter?: (authenticate: CallerService['authenticate']) => CallerService['authenticate'];
}

/** What a play came to. */
export interface KeyPlayResult {
  readonly violations: readonly string[];
  readonly accepted: number;
  readonly refused: number;
}

function publish(world: World, keys: readonly PublishedKey[]): void {
  const { operator, time } = world;
  const held = keys.filter(({ removedAt }) => removedAt > time.now());
  const next: QueueConfiguration = {
    ...operator.configuration,
    version: operator.configuration.version + 1,
    workspaces: [{ name: 'red', keyDigests: held.map(({ key }) => digestKey(key)), weight: 1, cap: NO_CAP }],
  };
  operator.configuration = next;
}

/** Plays calls with keys that are in force, removed or made up. */
export async function playKeys(options: KeyPlayOptions): Promise<KeyPlayResult> {
  const world = createWorld(options.seed, { services: 1, hostsPerService: 2, standbyHosts: 0, nodes: 3 });
  const { time, random, nodes, operator } = world;
  const alter = options.alter ?? ((authenticate) => authenticate);
  const keys: PublishedKey[] = [{ key: 'key-0', addedAt: 0, removedAt: Infinity }];
  const violations: string[] = [];
  const counts = { accepted: 0, refused: 0 };
  const until = LEAD_MILLISECONDS + options.busyMilliseconds;
  publish(world, keys);

  const check = (key: string, sentAt: number, isAccepted: boolean): void => {
    const published = keys.find((one) => one.key === key);
    const isCalm = sentAt > world.lastTroubleAt + RECOVERY_MILLISECONDS;
    if (isAccepted && published === undefined) violations.push(`${key} was accepted and never published`);
    if (published === undefined || !isCalm) return;
    if (isAccepted && sentAt > published.removedAt + APPLY_MILLISECONDS) {
      violations.push(`${key} was accepted ${sentAt - published.removedAt} ms after its removal`);
    }
    const isHeld = sentAt > published.addedAt + APPLY_MILLISECONDS && time.now() < published.removedAt;
    if (!isAccepted && isHeld) violations.push(`${key} was refused and is in force`);
  };

  const call = (): void => {
    const key = random.chance(0.2) ? `made-up-${random.below(1_000)}` : random.pick(keys).key;
    const [queue] = operator.configuration.queues;
    const sentAt = time.now();
    random.pick(nodes).receive(({ callers }) => {
      // A process that has just started has no configuration and answers 503.
      if (queue === undefined || callers.findQueue(queue.hostName, queue.pathPrefix).kind !== 'found') return;
      void alter(callers.authenticate)(queue, [`Bearer ${key}`]).then(({ kind }) => {
        counts[kind === 'authenticated' ? 'accepted' : 'refused'] += 1;
        check(key, sentAt, kind === 'authenticated');
      });
    });
  };

  const change = (): void => {
    keys.push({ key: `key-${keys.length}`, addedAt: time.now(), removedAt: Infinity });
    const held = keys.filter(({ removedAt }) => removedAt === Infinity);
    if (held.length > 2) random.pick(held).removedAt = time.now();
    publish(world, keys);
  };

  const repeat = (action: () => void, meanMilliseconds: number): void =>
    time.after(random.exponential(meanMilliseconds), () => {
      if (time.now() > until) return;
      action();
      repeat(action, meanMilliseconds);
    });
  await time.runUntil(LEAD_MILLISECONDS);
  repeat(call, CALL_EVERY_MILLISECONDS);
  repeat(change, CHANGE_EVERY_MILLISECONDS);
  if (options.kinds.length > 0) {
    repeat(() => {
      beginTrouble(world, random.pick(options.kinds));
      world.lastTroubleAt = time.now();
    }, TROUBLE_EVERY_MILLISECONDS);
  }
  await time.runUntil(until + APPLY_MILLISECONDS);
  return { violations, ...counts };
}
