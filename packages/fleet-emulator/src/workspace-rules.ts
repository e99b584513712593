/** Rule on what the workspaces have running on all workers together, and on which of their tasks may wait for it. */
import { NO_RESOURCES, taskIdOf, type TaskKey } from '@baobabdeck/scheduling';
import type { Workspace } from '@baobabdeck/scheduler';
import { stepOfTask } from './job-plans.js';
import type { ObservedStart } from './observer.js';
import type { RefereeParts } from './referee-types.js';
import type { Sightings } from './sightings.js';
import type { PlayedWorkspaces } from './workspace-play.js';

/** Share of its cap by which a workspace may exceed it. */
const OVERAGE = 0.1;

/**
 * Time for which starts may still count on a cap that was higher: processes learn of the lower one, and the longest
 * trouble keeps a service from hearing of its lower limit.
 */
const FORMER_CAP_MILLISECONDS = 15_000;

/** Share of its cap from which on a workspace may keep its tasks waiting. */
const BUSY_SHARE = 0.5;

/** Observations that the rule receives. */
export interface WorkspaceRules {
  readonly onStart: (started: ObservedStart) => void;
  readonly onCapsChanged: (workspaces: readonly Workspace[]) => void;
  /**
   * Whether the cap of its workspace allows a task to wait: at least half of the cap is in use, or the task belongs to a
   * gang that exceeds the cap by more than one task. Always false in plays whose caps hold every task and gang.
   */
  readonly mayWait: (key: TaskKey) => boolean;
}

interface KnownCap {
  readonly milliCores: number;
  until: number;
}

/** Creates the rule; without workspaces it checks nothing. */
export function createWorkspaceRules(
  { time, plans, hosts }: RefereeParts,
  { report }: Sightings,
  played: PlayedWorkspaces | null,
): WorkspaceRules {
  const caps = new Map<string, KnownCap[]>();
  const onCapsChanged = (workspaces: readonly Workspace[]): void => {
    workspaces.forEach(({ name, cap }) => {
      const known = caps.get(name) ?? [];
      const last = known.at(-1);
      if (last !== undefined) last.until = time.now();
      caps.set(name, [...known, { milliCores: cap.milliCores ?? Infinity, until: Infinity }]);
    });
  };
  if (played !== null) onCapsChanged(played.workspaces);

  const runningOf = (workspace: string): number => {
    let total = 0;
    for (const { worker } of hosts().values()) {
      for (const { task } of worker?.isUp() === true ? worker.runs() : []) {
        if (played?.workspaceOf(task.jobId) === workspace) {
          total += stepOfTask(plans, task)?.needs.milliCores ?? 0;
        }
      }
    }
    return total;
  };

  const onStart = ({ task, isLate }: ObservedStart): void => {
    const workspace = played?.workspaceOf(task.jobId) ?? null;
    if (workspace === null) return;
    const since = isLate ? -Infinity : time.now() - FORMER_CAP_MILLISECONDS;
    const counted = (caps.get(workspace) ?? []).filter(({ until }) => until >= since);
    const cap = Math.max(0, ...counted.map(({ milliCores }) => milliCores));
    const needs = (stepOfTask(plans, task)?.needs ?? NO_RESOURCES).milliCores;
    const running = runningOf(workspace);
    if (running > cap * (1 + OVERAGE) + needs) {
      report(
        'workspace-within-cap',
        `${taskIdOf(task)} brings ${workspace} to ${running} of ${cap} milli-cores`,
      );
    }
  };

  const mayWait = (key: TaskKey): boolean => {
    const workspace = played?.workspaceOf(key.jobId) ?? null;
    if (played === null || workspace === null || !played.hasLowCaps) return false;
    const cap = caps.get(workspace)?.at(-1)?.milliCores ?? Infinity;
    const running = runningOf(workspace);
    const step = stepOfTask(plans, key);
    const otherMembers = step?.isGang === true ? (step.taskCount - 1) * step.needs.milliCores : 0;
    return running >= cap * BUSY_SHARE || running + otherMembers > cap;
  };

  return { onStart, onCapsChanged, mayWait };
}
