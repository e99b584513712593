/** Ensures that every service of the configuration has an inbox. */
import type { LogPartition, QueueConfiguration, Store } from '../ports/index.js';
import { ensureInboxes, FLEET_SUBJECT, readLayout, subjectOfService, type Layout } from './layout.js';
import type { SteadyClock } from './steady-clock.js';
import type { BackgroundWork } from '../unexpected-errors/background-work.js';

const RETRY_MILLISECONDS = 100;

/** Shortest time between two reads of the layout for services that are not known. */
const READ_AGAIN_MILLISECONDS = 500;

/** Holds the layout as last read. */
export interface LayoutManager {
  readonly layout: () => Layout;
  /** Starts to assign an inbox to every service of a configuration that has none; retries until all have one. */
  readonly ensureInboxes: (configuration: QueueConfiguration) => void;
  /**
   * Returns the inbox of a subject. If this process does not know it, it returns null and reads the layout again: a service
   * may have been added and removed by versions that this process has missed.
   */
  readonly findInbox: (subject: string) => LogPartition | null;
  readonly close: () => void;
}

function requiredSubjects({ services }: QueueConfiguration): readonly string[] {
  const serving = services.filter((service) => !service.isStandby);
  return [FLEET_SUBJECT, ...serving.map((service) => subjectOfService(service.name))];
}

/** Creates a layout manager, at first with an empty layout. */
export function createLayoutManager(
  store: Store,
  clock: SteadyClock,
  background: BackgroundWork,
): LayoutManager {
  let layout: Layout = new Map();
  let closed = false;
  let isReadingAgain = false;

  const isComplete = (subjects: readonly string[]): boolean =>
    subjects.every((subject) => layout.has(subject));

  const assignMissing = async (subjects: readonly string[]): Promise<void> => {
    const found = await ensureInboxes(store, subjects);
    if (found !== null) layout = found;
    else await clock.sleep(RETRY_MILLISECONDS);
  };

  const readAgain = async (): Promise<void> => {
    const found = await readLayout(store);
    // Inboxes are assigned for good; some may have been assigned since this read was sent.
    if (found !== null) layout = new Map([...found, ...layout]);
    await clock.sleep(READ_AGAIN_MILLISECONDS);
    isReadingAgain = false;
  };

  const findInbox = (subject: string): LogPartition | null => {
    const inbox = layout.get(subject) ?? null;
    if (inbox === null && !isReadingAgain) {
      isReadingAgain = true;
      background.start('read-layout-again', readAgain, () => {
        isReadingAgain = false;
      });
    }
    return inbox;
  };

  return {
    layout: () => layout,
    findInbox,
    ensureInboxes: (configuration) => {
      const subjects = requiredSubjects(configuration);
      background.repeat(
        'ensure-inboxes',
        () => !closed && !isComplete(subjects),
        () => assignMissing(subjects),
      );
    },
    close: () => {
      closed = true;
    },
  };
}
