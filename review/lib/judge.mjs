/** Checks of the users' rules on the events of a record. */

/**
 * Returns when the `done` end of each work unit was taken note of. An end does not count if its worker's lease lapsed
 * between the two.
 */
function notedEnds(events) {
  const endedAt = new Map();
  const lapses = events.filter(({ kind }) => kind === 'lease-lapsed');
  const noted = new Map();
  for (const { kind, worker, number, task, how, at } of events) {
    const end = `${worker}/${number}`;
    if (kind === 'end' && how === 'done') endedAt.set(end, at);
    const since = endedAt.get(end);
    if (kind === 'noted' && how === 'done' && since !== undefined) {
      const hasLapsed = lapses.some(
        (lapse) => lapse.worker === worker && lapse.at >= since && lapse.at <= at,
      );
      if (!hasLapsed && !noted.has(task)) noted.set(task, { endedAt: since, notedAt: at });
    }
  }
  return noted;
}

/** TWICE: two runs of a work unit at once, or a start after a run has ended `done` whose end is taken note of. */
export function findTwice(events) {
  const noted = notedEnds(events);
  const active = new Map();
  const breaks = [];
  for (const { kind, task, run, worker, at } of events) {
    if (kind === 'start') {
      const others = active.get(task) ?? new Set();
      const end = noted.get(task);
      if (others.size > 0) breaks.push({ at, task, run, worker, why: `beside ${[...others].join()}` });
      else if (end !== undefined && end.endedAt < at) {
        const [endedAt, notedAt] = [end.endedAt, end.notedAt].map((time) => (time / 1000).toFixed(3));
        breaks.push({ at, task, run, worker, why: `done at ${endedAt}, taken note of at ${notedAt}` });
      }
      active.set(task, new Set([...others, `${worker}/${run}`]));
    } else if (kind === 'end' || kind === 'lost') {
      active.get(task)?.delete(`${worker}/${run}`);
    }
  }
  return breaks;
}

/** Time for which a submission may have nothing running while capacity is free. */
const IDLE_MS = 3_000;

/** LOST: whether nothing of a submission with a single step has run for 3 s. */
export function hasBeenIdle(events, id, now) {
  const own = events.filter(({ task }) => task?.startsWith(id));
  const starts = own.filter(({ kind }) => kind === 'start').length;
  const ends = own.filter(({ kind }) => kind === 'end' || kind === 'lost');
  return starts === ends.length && ends.every(({ at }) => at < now - IDLE_MS);
}
