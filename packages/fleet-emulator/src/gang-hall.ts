/** Brings the members of gangs together: they work from the moment on when all are present, and end together. */
import type { TaskKey } from '@baobabdeck/scheduling';

/** One member of a gang on a worker. */
export interface GangMember {
  readonly begin: () => void;
  readonly breakOff: () => void;
}

/** Where gangs meet. */
export interface GangHall {
  readonly enter: (key: TaskKey, run: number, size: number, member: GangMember) => void;
  /** A member has ended: the others are broken off, unless all are done. */
  readonly leave: (key: TaskKey, run: number, member: GangMember, isDone: boolean) => void;
}

/** Creates an empty hall. */
export function createGangHall(): GangHall {
  const gangs = new Map<string, Set<GangMember>>();
  const nameOf = ({ jobId, occurrence, step }: TaskKey, run: number): string =>
    `${jobId}/${occurrence}/${step}/${run}`;
  return {
    enter: (key, run, size, member) => {
      const name = nameOf(key, run);
      const gang = gangs.get(name) ?? new Set();
      gangs.set(name, gang);
      gang.add(member);
      if (gang.size === size) [...gang].forEach((one) => one.begin());
    },
    leave: (key, run, member, isDone) => {
      const gang = gangs.get(nameOf(key, run));
      if (gang === undefined || !gang.delete(member) || isDone) return;
      gangs.delete(nameOf(key, run));
      [...gang].forEach((one) => one.breakOff());
    },
  };
}
