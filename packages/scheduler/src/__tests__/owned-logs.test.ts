import { describe } from '@baobabdeck/test-tools';
import { restoreService, type ServiceState } from '@baobabdeck/scheduling';
import { createOwnedLogs, type OwnedLogs } from '../node/owned-logs.js';
import type { ServiceOwner } from '../owner/service-owner.js';
import type { LogPartition } from '../ports/index.js';
import { createManualClock, type ManualClock } from './manual-clock.js';
import { SCHEDULING_PARAMETERS } from './scheduling-parameters.js';
import { createTestBackground } from './test-background.js';

const INBOX: LogPartition = { topic: 'keyed.inbox.0', partition: 0 };
const SERVICE = 'quotes';

const STOP_MILLISECONDS = 500;

const CLAIMED_STATE: ServiceState = restoreService({
  service: SERVICE,
  parameters: SCHEDULING_PARAMETERS,
  fencingEpoch: 1,
  now: 0,
  timeOfDay: new Date(0),
  claimedAt: 0,
  provenAt: 0,
  records: [],
}).state;

interface Scene {
  readonly clock: ManualClock;
  readonly logs: OwnedLogs;
  readonly stopped: () => number;
  readonly opened: () => number;
  /** Ends the ownership, as another claim does. */
  readonly supersede: () => void;
}

/** Creates the logs of a process to which one service is assigned. */
async function createScene(hasClaimed: boolean): Promise<Scene> {
  const clock = createManualClock();
  let stopped = 0;
  let opened = 0;
  let supersede = (): void => undefined;
  const logs = createOwnedLogs({
    clock,
    background: createTestBackground(clock),
    layout: () => new Map([[`service/${SERVICE}`, INBOX]]),
    awaitVacantFleet: () => undefined,
    openFleetOwner: () => {
      throw new Error('The fleet is not assigned');
    },
    openServiceOwner: (inbox, service, onGivenUp): ServiceOwner => {
      opened += 1;
      supersede = () => onGivenUp(false);
      return {
        service,
        inbox,
        state: () => (hasClaimed ? CLAIMED_STATE : null),
        dispatch: () => undefined,
        select: () => null,
        catchUp: () => Promise.resolve(true),
        stop: () => {
          stopped += 1;
          return Promise.resolve();
        },
      };
    },
  });
  await logs.applyAssignment([INBOX]);
  return { clock, logs, stopped: () => stopped, opened: () => opened, supersede: () => supersede() };
}

// Guards against a time without an owner, in which leases run out, when a service passes from one process to another.
describe('the owner of a service that is assigned to another process', ({ it }) => {
  it('serves until the other process has claimed the service', async (t) => {
    const { logs, stopped, supersede } = await createScene(true);
    await logs.applyAssignment([]);
    t.is(stopped(), 0);
    t.true(logs.has(INBOX));
    supersede();
    t.false(logs.has(INBOX));
  });

  it('serves on if the service is assigned to this process again', async (t) => {
    const { logs, stopped, opened } = await createScene(true);
    await logs.applyAssignment([]);
    await logs.applyAssignment([INBOX]);
    t.deepEqual([opened(), stopped()], [1, 0]);
  });

  it('is stopped if it has not claimed the service yet', async (t) => {
    const { logs, stopped } = await createScene(false);
    await logs.applyAssignment([]);
    t.is(stopped(), 1);
    t.false(logs.has(INBOX));
  });

  it('serves in a stopping process until the other process has claimed the service', async (t) => {
    const { clock, logs, stopped, supersede } = await createScene(true);
    await logs.prepareStop();
    const end = logs.stop(clock.steadyNow() + STOP_MILLISECONDS);
    await clock.advance(STOP_MILLISECONDS / 2);
    t.is(stopped(), 0);
    supersede();
    await clock.advance(STOP_MILLISECONDS / 2);
    await end;
    t.is(stopped(), 0);
  });

  it('is stopped in a stopping process if no other process claims the service in time', async (t) => {
    const { clock, logs, stopped } = await createScene(true);
    await logs.prepareStop();
    const end = logs.stop(clock.steadyNow() + STOP_MILLISECONDS);
    await clock.advance(STOP_MILLISECONDS);
    await end;
    t.is(stopped(), 1);
  });
});
