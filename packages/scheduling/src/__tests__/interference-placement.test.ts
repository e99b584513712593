import { describe } from '@baobabdeck/test-tools';
import type { StepRequest } from '../model/job.js';
import type { ServiceEffect } from '../state/effect.js';
import { NO_INTERFERENCE } from '../state/interference-state.js';
import {
  createServiceHarness,
  effectsOf,
  jobOf,
  keyOf,
  startsOf,
  type ServiceHarness,
} from './service-harness.js';

const TARGET_MILLISECONDS = 100;

const SHOP: Partial<StepRequest> = {
  image: 'shop',
  isLasting: true,
  tailTargetMilliseconds: TARGET_MILLISECONDS,
};
const BATCH: Partial<StepRequest> = { image: 'batch', usesSpareCapacity: true, isLasting: true };

interface Placed {
  readonly jobId: string;
  readonly workerId: string;
}

/** A service whose workers report every run that was started, with the tails that `tailOf` gives. */
interface ReportingService {
  readonly harness: ServiceHarness;
  readonly placed: () => readonly Placed[];
  readonly accept: (jobId: string, step: Partial<StepRequest>) => readonly string[];
  /** Lets all workers report `rounds` times, half a second apart, and returns the effects. */
  readonly report: (rounds: number) => readonly ServiceEffect[];
}

function createReportingService(
  workerIds: readonly string[],
  tailOf: (jobId: string, workerId: string, neighbours: readonly string[]) => number | null,
): ReportingService {
  const harness = createServiceHarness();
  const placed: Placed[] = [];
  const rowsByWorker = new Map<string, { readonly jobId: string; readonly index: number }[]>();
  harness.addWorkers(workerIds);

  const report = (): readonly ServiceEffect[] => {
    harness.advance(500);
    return workerIds.flatMap((workerId) => {
      const rows = rowsByWorker.get(workerId) ?? [];
      const running = rows.map(({ jobId, index }) => ({
        task: { jobId, occurrence: 0, step: 0, index },
        run: 1,
        checkpoint: '',
        percent: 100,
        load: tailOf(
          jobId,
          workerId,
          rows.map((row) => row.jobId).filter((other) => other !== jobId),
        ),
      }));
      return harness.report(workerId, { running });
    });
  };

  return {
    harness,
    placed: () => placed,
    accept: (jobId, step) => {
      const starts = effectsOf(harness.accept(jobOf(jobId, [step])), 'start-run');
      starts.forEach(({ address: { task, workerId } }) => {
        placed.push({ jobId, workerId });
        rowsByWorker.set(workerId, [
          ...(rowsByWorker.get(workerId) ?? []),
          { jobId: task.jobId, index: task.index },
        ]);
      });
      harness.confirmStarts();
      return starts.map(({ address }) => address.workerId);
    },
    report: (rounds) => Array.from({ length: rounds }, report).flat(),
  };
}

const isBatch = (jobId: string): boolean => jobId.startsWith('batch');

/** Tail of the shop, three times as long beside batch tasks. */
function harmedTail(jobId: string, _workerId: string, neighbours: readonly string[]): number {
  if (isBatch(jobId)) return 500;
  return neighbours.some(isBatch) ? 75 : 25;
}

function findingsOf(effects: readonly ServiceEffect[]): readonly string[] {
  return effectsOf(effects, 'log')
    .map(({ decision }) => decision)
    .filter((decision) => decision.startsWith('interference'));
}

/** Starts two tasks of the shop on w1 and w2, and a batch task beside one of them. */
function startShopAndBatch(service: ReportingService): void {
  service.accept('shop', { ...SHOP, taskCount: 2, maximumPerWorker: 1 });
  service.accept('batch-1', BATCH);
}

describe('placement under interference', ({ it }) => {
  it('parts two images once one is known to slow the other down', (t) => {
    const service = createReportingService(['w1', 'w2', 'w3'], harmedTail);
    startShopAndBatch(service);
    const shopWorkers = service
      .placed()
      .flatMap(({ jobId, workerId }) => (jobId === 'shop' ? [workerId] : []));
    // Without the model, the fewest free cores decide.
    t.true(shopWorkers.includes(service.accept('batch-2', BATCH)[0] ?? ''));
    t.deepEqual(findingsOf(service.report(40)), ['interferenceFound']);
    const free = ['w1', 'w2', 'w3'].filter((workerId) => !shopWorkers.includes(workerId));
    t.deepEqual(service.accept('batch-3', BATCH), free);
    // A new serving task avoids the batch tasks as well.
    const batchWorkers = new Set(
      service.placed().flatMap(({ jobId, workerId }) => (isBatch(jobId) ? [workerId] : [])),
    );
    service.harness.addWorkers(['w4']);
    const [chosen] = service.accept('shop-2', SHOP);
    t.false(batchWorkers.has(chosen ?? ''));
  });

  it('places a task at once beside images that harm it if no other worker has room', (t) => {
    const service = createReportingService(['w1', 'w2'], harmedTail);
    startShopAndBatch(service);
    t.deepEqual(findingsOf(service.report(40)), ['interferenceFound']);
    t.is(service.accept('batch-2', BATCH).length, 1);
    t.is(service.accept('batch-3', BATCH).length, 1);
    t.is(service.harness.state().waiting.steps.size, 0);
  });

  it('keeps two steps apart that are placed by the same event', (t) => {
    const service = createReportingService(['w1', 'w2'], harmedTail);
    startShopAndBatch(service);
    service.report(40);
    service.harness.addWorkers(['w3', 'w4']);
    const effects = service.harness.accept(jobOf('pair', [SHOP, BATCH]));
    const [first, second] = startsOf(effects);
    t.truthy(first);
    t.not(first, second);
  });

  it('keeps the preference for the rack of the data', (t) => {
    const service = createReportingService(['w1', 'w2', 'w3'], harmedTail);
    startShopAndBatch(service);
    service.report(40);
    t.deepEqual(service.accept('batch-2', { ...BATCH, rackOfData: 'rack-of-w1' }), ['w1']);
  });

  it('decides as before while no interference is known', (t) => {
    const decide = (image: (name: string) => string | null): readonly Placed[] => {
      const service = createReportingService(['w1', 'w2', 'w3', 'w4'], (jobId) =>
        isBatch(jobId) ? 500 : 60,
      );
      for (let count = 0; count < 12; count += 1) {
        service.accept(`shop-${count}`, { ...SHOP, image: image('shop'), taskCount: 1 + (count % 2) });
        service.accept(`batch-${count}`, { ...BATCH, image: image('batch') });
        service.report(5);
      }
      return service.placed();
    };
    t.deepEqual(
      decide((name) => name),
      decide(() => null),
    );
  });

  it('learns nothing from false evidence: tails that rise on all workers alike', (t) => {
    let tail = 20;
    const service = createReportingService(['w1', 'w2', 'w3'], (jobId) => (isBatch(jobId) ? 500 : tail));
    startShopAndBatch(service);
    const effects = Array.from({ length: 60 }, () => {
      tail *= 1.03;
      return service.report(1);
    });
    t.deepEqual(findingsOf(effects.flat()), []);
  });

  it('keeps no model of steps without images', (t) => {
    const service = createReportingService(['w1', 'w2'], harmedTail);
    service.accept('shop', { ...SHOP, image: null });
    service.accept('batch-1', { ...BATCH, image: null });
    service.report(20);
    t.is(service.harness.state().interference, NO_INTERFERENCE);
  });

  it('keeps what it has learned over a change of owner', (t) => {
    const service = createReportingService(['w1', 'w2', 'w3'], harmedTail);
    startShopAndBatch(service);
    service.report(60);
    const records = service.harness.records();
    const learned = records.filter(({ record }) => record.kind === 'interference-learned');
    // The model is recorded when its findings change, not with each sample.
    t.true(learned.length >= 1 && learned.length <= 3);
    const { interference } = createServiceHarness(records).state();
    t.deepEqual(
      interference.conflicts.get('batch')?.map(({ image }) => image),
      ['shop'],
    );
    t.true(interference.pairs.every(({ updatedAt }) => updatedAt <= createServiceHarness().state().now));
  });

  it('learns from the durations of runs that end', (t) => {
    const harness = createServiceHarness();
    harness.addWorkers(['w1', 'w2']);
    const findings: string[] = [];
    let number = 0;
    for (let count = 0; count < 30; count += 1) {
      const isBeside = count % 2 === 0;
      const jobIds = isBeside ? [`sort-${count}`, `scan-${count}`] : [`sort-${count}`];
      jobIds.forEach((jobId) =>
        harness.accept(jobOf(jobId, [{ image: jobId.slice(0, 4), rackOfData: 'rack-of-w1' }])),
      );
      harness.confirmStarts();
      harness.advance(isBeside ? 2_000 : 1_000);
      const firstNumber = number + 1;
      const ended = jobIds.map((jobId, index) => ({
        number: firstNumber + index,
        task: keyOf(jobId),
        run: 1,
        end: 'done' as const,
        checkpoint: '',
      }));
      number += ended.length;
      findings.push(...findingsOf(harness.report('w1', { ended })));
    }
    t.deepEqual(findings, ['interferenceFound']);
  });
});
