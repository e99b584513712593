/** Performs the effects that forward jobs to other services, and dispatches their outcomes to the scheduler. */
import type { ServiceEffect } from '@baobabdeck/scheduling';
import type { WriteEvent } from '@baobabdeck/observability';
import type { SteadyClock } from '../node/steady-clock.js';
import type { AppendOutcome, KeyedRecord, LogPartition } from '../ports/index.js';
import { appendUntilStored } from './append-until-stored.js';
import { encodeRecord } from './record-codec.js';
import type { ServiceEventBody } from './service-event.js';

type EffectOf<K extends ServiceEffect['kind']> = Extract<ServiceEffect, { readonly kind: K }>;
type ForwardingEffect = EffectOf<'forward-job' | 'forward-cancellation' | 'find-unknown-jobs'>;

/** The other services, as a service owner reaches them. */
export interface OtherServices {
  /** Returns the inbox of a service; null while this process has not read of one. */
  readonly inboxOf: (service: string) => LogPartition | null;
  readonly append: (inbox: LogPartition, records: readonly KeyedRecord[]) => Promise<AppendOutcome>;
  /** Returns those of some jobs that the owner of a service does not know; null if it does not answer. */
  readonly findUnknownJobs: (service: string, jobIds: readonly string[]) => Promise<readonly string[] | null>;
}

/** Dependencies of the effects. */
export interface ForwardingParts {
  readonly others: OtherServices;
  readonly clock: SteadyClock;
  readonly writeEvent: WriteEvent;
  readonly dispatch: (event: ServiceEventBody) => void;
  /** Returns false once the ownership has ended. */
  readonly isOpen: () => boolean;
}

/** Appends records to the inbox of another service; returns false if the ownership ends before they are stored. */
function appendToOther(
  { others, clock, writeEvent, isOpen }: ForwardingParts,
  service: string,
  records: readonly KeyedRecord[],
): Promise<boolean> {
  const appendOnce = async (): Promise<AppendOutcome | null> => {
    const inbox = others.inboxOf(service);
    return inbox === null ? null : others.append(inbox, records);
  };
  return appendUntilStored({ clock, writeEvent, isOpen, service, appendOnce });
}

/** Performs one effect. */
export async function performForwardingEffect(
  effect: ForwardingEffect,
  parts: ForwardingParts,
): Promise<void> {
  const { others, dispatch } = parts;
  switch (effect.kind) {
    case 'forward-job': {
      const { request } = effect;
      const records = encodeRecord({ kind: 'job-accepted', request });
      const isStored = await appendToOther(parts, request.service, records);
      if (isStored) dispatch({ kind: 'job-forwarded', jobId: request.jobId });
      break;
    }
    case 'forward-cancellation': {
      const { service, jobId } = effect;
      await appendToOther(parts, service, encodeRecord({ kind: 'job-cancelled', jobId }));
      break;
    }
    default: {
      const { service, jobIds } = effect;
      const unknown = await others.findUnknownJobs(service, jobIds);
      if (unknown !== null) dispatch({ kind: 'jobs-unknown', service, jobIds: unknown });
    }
  }
}
