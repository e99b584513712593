import { describe } from '@baobabdeck/test-tools';
import { runSteps } from '@baobabdeck/types';
import { reduceService } from '../service/reduce.js';
import type { ServiceEffect } from '../state/effect.js';
import { createServiceHarness, effectsOf } from './service-harness.js';

/** Longer than a proof of the ownership is valid. */
const UNPROVEN_MILLISECONDS = 6_000;

const DECISIONS = ['workersReached', 'ownershipUnproven', 'ownershipProven'];

function decisionsIn(effects: readonly ServiceEffect[]): readonly string[] {
  return effectsOf(effects, 'log').flatMap(({ decision }) =>
    DECISIONS.includes(decision) ? [decision] : [],
  );
}

describe('the log of an owner', ({ it }) => {
  it('says once that every worker has answered it', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    t.deepEqual(decisionsIn(harness.advance(100)), ['workersReached']);
    t.deepEqual(decisionsIn(harness.advance(100)), []);
  });

  it('says when it may give no orders for want of a proof, and when it may again', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1']);
    harness.advance(100);
    const { state } = harness;
    const at = state().now + UNPROVEN_MILLISECONDS;
    const timeOfDay = new Date(at);
    const unproven = runSteps(reduceService(state(), { kind: 'ticked', at, timeOfDay }));
    t.deepEqual(decisionsIn(unproven.effects), ['ownershipUnproven']);
    const read = { kind: 'records-read' as const, records: [], askedAt: at };
    const proven = runSteps(reduceService(unproven.state, { ...read, at, timeOfDay }));
    const ticked = runSteps(reduceService(proven.state, { kind: 'ticked', at, timeOfDay }));
    t.deepEqual(decisionsIn(ticked.effects), ['ownershipProven']);
  });
});
