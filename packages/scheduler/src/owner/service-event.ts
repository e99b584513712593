/** Events that the shell of a service's scheduler dispatches. */
import type { ServiceEvent } from '@baobabdeck/scheduling';
import type { EventBody } from './reducer-loop.js';

/** Scheduler event without its timestamps. */
export type ServiceEventBody = EventBody<ServiceEvent>;
