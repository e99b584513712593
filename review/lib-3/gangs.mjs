/** Gangs of the stand-in workers: members work only together, end as done together, and break when one of them ends. */
import { clearTimeout, setTimeout } from 'node:timers';

/** Creates the gangs; `countOf(task)` returns how many members the gang of a work unit has. */
export function createGangs(countOf, gangTimeoutMs) {
  const gangs = new Map();

  const breakUp = (gang, how) => {
    const others = [...gang.members.values()];
    gang.members.clear();
    others.forEach((member) => member.end(how === 'done' ? 'done' : 'broken'));
  };

  return {
    /** Adds a member of one run; returns the function that takes it out again with the way in which it ended. */
    join: (task, run, work, end) => {
      const key = `${task.slice(0, task.lastIndexOf('.'))}/${run}`;
      const gang = gangs.get(key) ?? { members: new Map(), isAtWork: false };
      gangs.set(key, gang);
      const timer = setTimeout(() => {
        if (!gang.isAtWork) end('alone');
      }, gangTimeoutMs);
      gang.members.set(task, { work, end });
      if (gang.members.size === countOf(task)) {
        gang.isAtWork = true;
        gang.members.forEach((member) => member.work());
      }
      return (how) => {
        clearTimeout(timer);
        if (gang.members.delete(task) && gang.isAtWork) breakUp(gang, how);
      };
    },
  };
}
