/** Jobs of workspaces: which workspace a job belongs to, and the caps that the operator sets. */
import {
  decodeRecord,
  encodeRecord,
  type QueueConfiguration,
  type Store,
  type Workspace,
} from '@baobabdeck/scheduler';
import type { RandomSource } from '@baobabdeck/emulator';

/** Workspaces of a play. */
export interface PlayedWorkspaces {
  readonly workspaces: readonly Workspace[];
  readonly workspaceOf: (jobId: string) => string | null;
  /** Whether caps are lowered below single tasks and gangs. */
  readonly hasLowCaps: boolean;
}

const CAPPED = ['north', 'south'];
const NAMES = [...CAPPED, 'uncapped', null];

/** Caps hold at least the largest gang of a play, so that every job can run. */
const LOWEST_CAP_MILLI_CORES = 14_000;
const CAP_RANGE_MILLI_CORES = 16_000;

function workspaceOf(name: string, milliCores: number | null): Workspace {
  const cap = { milliCores, memoryMegabytes: null, accelerators: null };
  return { name, keyDigests: [], weight: 1, cap };
}

/** Two capped workspaces, one without a cap, and jobs without a workspace; a quarter of the jobs each. */
export const PLAYED_WORKSPACES: PlayedWorkspaces = {
  workspaces: [
    ...CAPPED.map((name) => workspaceOf(name, LOWEST_CAP_MILLI_CORES)),
    workspaceOf('uncapped', null),
  ],
  workspaceOf: (jobId) => NAMES[Number.parseInt(jobId.slice(-1), 16) % NAMES.length] ?? null,
  hasLowCaps: false,
};

/** The same with caps that are lowered below single tasks and gangs. */
export const LOW_CAP_WORKSPACES: PlayedWorkspaces = { ...PLAYED_WORKSPACES, hasLowCaps: true };

/** Range of caps that hold no gang, and of which most hold few of the tasks of a play. */
const LEAST_LOW_CAP_MILLI_CORES = 300;
const LOW_CAP_RANGE_MILLI_CORES = 3_700;

function drawCap(random: RandomSource): number {
  return LOWEST_CAP_MILLI_CORES + random.below(CAP_RANGE_MILLI_CORES);
}

function drawLowCap(random: RandomSource): number {
  return LEAST_LOW_CAP_MILLI_CORES + random.below(LOW_CAP_RANGE_MILLI_CORES);
}

/** Publishes a version of the configuration with other caps, low ones where asked for, and returns its workspaces. */
export function changeCaps(
  operator: { configuration: QueueConfiguration },
  random: RandomSource,
  areLow = false,
): readonly Workspace[] {
  const { configuration } = operator;
  const draw = areLow ? drawLowCap : drawCap;
  const workspaces = configuration.workspaces.map((workspace) =>
    workspace.cap.milliCores === null ? workspace : workspaceOf(workspace.name, draw(random)),
  );
  operator.configuration = { ...configuration, version: configuration.version + 1, workspaces };
  return workspaces;
}

/** Returns a store in which submitted jobs belong to workspaces, as if their callers had sent the keys of these. */
export function withWorkspaces(store: Store, { workspaceOf: find }: PlayedWorkspaces): Store {
  return {
    ...store,
    append: (request) => {
      const records = request.records.flatMap((keyed) => {
        const decoded = decodeRecord({ ...keyed, offset: 0 });
        if (decoded.kind !== 'record' || decoded.record.record.kind !== 'job-accepted') return [keyed];
        const { request: job } = decoded.record.record;
        return encodeRecord({ kind: 'job-accepted', request: { ...job, workspace: find(job.jobId) } });
      });
      return store.append({ ...request, records });
    },
  };
}

interface GrantsMessage {
  readonly grants: {
    readonly workspaces: readonly { readonly limit: unknown; readonly cap: unknown }[];
  } | null;
}

function hasGrants(content: unknown): content is GrantsMessage {
  return typeof content === 'object' && content !== null && 'grants' in content && content.grants !== null;
}

/** Allows no start that exceeds the cap. The rule on work that stands still has to notice it. */
export function allowNoOversizedStarts(content: unknown): unknown {
  if (!hasGrants(content) || content.grants === null) return content;
  const workspaces = content.grants.workspaces.map((grant) => ({ ...grant, oversizedLimit: null }));
  return { ...content, grants: { ...content.grants, workspaces } };
}

/** Gives every service the whole cap instead of its part. The assertion on caps has to notice it. */
export function grantWholeCaps(content: unknown): unknown {
  if (!hasGrants(content) || content.grants === null) return content;
  const workspaces = content.grants.workspaces.map((grant) => ({ ...grant, limit: grant.cap }));
  return { ...content, grants: { ...content.grants, workspaces } };
}
