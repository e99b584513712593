/** Explains the state and history of a host, pool, job or wave to operators, and what would change it. */
import { findDrainObstacle, selectBudgetUse } from './fold/budget.js';
import type { FleetState, Host, Job } from './fold/fold-state.js';
import { subjectKey, type SubjectKind } from './fold/history.js';

/** Explanation of a subject, as sentences. */
export interface Explanation {
  readonly subject: string;
  /** Current state. */
  readonly now: readonly string[];
  /** Next actions or the conditions that they wait for. */
  readonly next: readonly string[];
  /** Decisions, oldest first. */
  readonly history: readonly string[];
}

function describeHistory(fleet: FleetState, kind: SubjectKind, name: string): readonly string[] {
  const entries = fleet.history.get(subjectKey(kind, name));
  if (entries === undefined) return [];
  return entries
    .map(({ at, issuer, offset, text }) => `${at.toISOString()} ${text} (by ${issuer}, offset ${offset})`)
    .toArray();
}

function describeDuty(host: Host): string {
  if (host.duty.kind === 'in-service') return `Host '${host.hostId}' is in service in pool '${host.pool}'`;
  const { purpose, waveId, destinationPool, permittedAt } = host.duty.permit;
  const cause = waveId === null ? purpose : `wave '${waveId}'`;
  const destination = destinationPool === null ? '' : `, on its way to pool '${destinationPool}'`;
  return `Host '${host.hostId}' is ${host.duty.kind} for ${cause}${destination}, permitted at ${permittedAt.toISOString()}; it counts in pool '${host.pool}'`;
}

function describeNextForHost(fleet: FleetState, host: Host): readonly string[] {
  if (host.duty.kind === 'draining') {
    return ['It is drained when every gateway and the platform report that nothing runs there'];
  }
  if (host.duty.kind === 'drained') {
    const { purpose } = host.duty.permit;
    if (purpose === 'operator') return [`Run 'baobabdeck host return ${host.hostId}' to put it back`];
    return [
      purpose === 'move'
        ? 'It joins its new pool next'
        : 'It returns when the platform lists it as live after its reboot',
    ];
  }
  const obstacle = findDrainObstacle(fleet, host, 0);
  return [obstacle === null ? 'It may be drained now' : `It may not be drained now: ${obstacle.detail}`];
}

/** Explains a host; returns null if it is unknown. */
export function explainHost(fleet: FleetState, hostId: string): Explanation | null {
  const host = fleet.hosts.get(hostId);
  const history = describeHistory(fleet, 'host', hostId);
  if (host === undefined) {
    return history.length === 0
      ? null
      : { subject: `host ${hostId}`, now: ['It is no longer configured'], next: [], history };
  }
  const now = [
    describeDuty(host),
    `The host list shows it as ${host.presence}; it stands in rack '${host.rack}'`,
  ];
  return { subject: `host ${hostId}`, now, next: describeNextForHost(fleet, host), history };
}

/** Explains a pool; returns null if it is unknown. */
export function explainPool(fleet: FleetState, pool: string): Explanation | null {
  const view = fleet.pools.get(pool);
  if (view === undefined) return null;
  const use = selectBudgetUse(fleet, pool);
  const control =
    view.control === null
      ? 'No controller has claimed it yet'
      : `Controller ${view.control.processId} decides for it, epoch ${view.control.epoch}`;
  const now = [
    `Pool '${pool}' has ${use.hosts} hosts, ${use.absent} of them absent; its budget allows ${use.maximumAbsent}`,
    control,
  ];
  const absent = [...view.absentHostIds].flatMap((hostId) => {
    const host = fleet.hosts.get(hostId);
    return host === undefined ? [] : [`${hostId}: ${host.duty.kind}, host list ${host.presence}`];
  });
  const next = [
    use.room > 0
      ? `Planned work may take out ${use.room} more`
      : 'Planned work may take out no more until a host returns',
  ];
  return {
    subject: `pool ${pool}`,
    now: [...now, ...absent],
    next,
    history: describeHistory(fleet, 'pool', pool),
  };
}

function describeJob(job: Job): string {
  const { status } = job;
  if (status.kind === 'waiting') return `It waits since ${status.since.toISOString()}`;
  if (status.kind === 'placed') {
    return `It runs on host '${status.hostId}' under lease ${status.leaseId} since ${status.at.toISOString()}`;
  }
  return `It ended as ${status.end} at ${status.at.toISOString()}`;
}

function describeNextForJob(fleet: FleetState, job: Job): readonly string[] {
  if (job.status.kind !== 'waiting') return [];
  const { cores, accelerators, pool, team } = job.request;
  const taken = fleet.teamAllocations.get(team);
  const quota = fleet.configuration.teams.get(team);
  return [
    `It starts when a host of pool '${pool}' has ${cores} cores and ${accelerators} accelerators free`,
    `Team '${team}' uses ${taken?.cores ?? 0} of ${quota?.coresQuota ?? 0} cores`,
  ];
}

/** Explains a job; returns null if it is unknown. */
export function explainJob(fleet: FleetState, jobId: string): Explanation | null {
  const job = fleet.jobs.get(jobId);
  if (job === undefined) return null;
  return {
    subject: `job ${jobId}`,
    now: [describeJob(job)],
    next: describeNextForJob(fleet, job),
    history: describeHistory(fleet, 'job', jobId),
  };
}

/** Explains a maintenance wave; returns null if it is unknown. */
export function explainWave(fleet: FleetState, waveId: string): Explanation | null {
  const wave = fleet.waves.get(waveId);
  if (wave === undefined) return null;
  const done = wave.hosts.count((progress) => progress.kind === 'done');
  const skipped = [...wave.hosts.entries()].flatMap(([hostId, progress]) =>
    progress.kind === 'skipped' ? [`${hostId} was skipped: ${progress.reason}`] : [],
  );
  const now = [
    `Wave '${waveId}' is ${wave.state}: ${wave.reason}`,
    `${done} hosts done, ${wave.outCount} out, ${wave.pendingCount} to go, ${skipped.length} skipped`,
    ...skipped,
  ];
  const next = wave.state === 'paused' ? [`Run 'baobabdeck maintenance resume ${waveId}' to go on`] : [];
  return { subject: `wave ${waveId}`, now, next, history: describeHistory(fleet, 'wave', waveId) };
}
