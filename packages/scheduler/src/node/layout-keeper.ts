/** Keeps the layout in step with the services of the configuration. */
import type { QueueConfiguration, Store } from '../ports/index.js';
import { ensureLayout, FLEET_SUBJECT, subjectOfService, type Layout } from './layout.js';
import type { SteadyClock } from './steady-clock.js';

const RETRY_MILLISECONDS = 100;

/** The layout as far as this process knows it. */
export interface LayoutKeeper {
  readonly layout: () => Layout;
  /** Sees to it that every service of a configuration has its inbox. */
  readonly adapt: (configuration: QueueConfiguration) => void;
  readonly close: () => void;
}

function subjectsOf({ services }: QueueConfiguration): readonly string[] {
  const serving = services.filter((service) => !service.isStandby);
  return [FLEET_SUBJECT, ...serving.map((service) => subjectOfService(service.name))];
}

/** Creates a keeper that knows nothing yet. */
export function createLayoutKeeper(store: Store, clock: SteadyClock): LayoutKeeper {
  let layout: Layout = new Map();
  let closed = false;

  const isComplete = (subjects: readonly string[]): boolean =>
    subjects.every((subject) => layout.has(subject));

  const complete = async (subjects: readonly string[]): Promise<void> => {
    while (!closed && !isComplete(subjects)) {
      const found = await ensureLayout(store, subjects);
      if (found !== null) layout = found;
      else await clock.sleep(RETRY_MILLISECONDS);
    }
  };

  return {
    layout: () => layout,
    adapt: (configuration) => {
      void complete(subjectsOf(configuration));
    },
    close: () => {
      closed = true;
    },
  };
}
