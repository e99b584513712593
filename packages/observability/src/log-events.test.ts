import { readFile } from 'node:fs/promises';
import { describe } from '@baobabdeck/test-tools';
import { LOG_EVENTS } from './log-events.js';

describe('log events', ({ it }) => {
  it('match the documented catalogue exactly', async (t) => {
    const page = await readFile(new URL('../../../docs/LOG-EVENTS.md', import.meta.url), 'utf8');
    const rows = [...page.matchAll(/^\| (\d{3})\s+\| `(\w+)`\s+\| (\w+)\s+\| (.+?)\s+\|$/gm)].map((row) =>
      row.slice(1),
    );
    const declared = Object.entries(LOG_EVENTS).map(([name, entry]) => [
      `${entry.number}`,
      name,
      entry.level,
      entry.message,
    ]);
    t.deepEqual(rows, declared);
  });

  it('have unique numbers', (t) => {
    const numbers = Object.values(LOG_EVENTS).map((entry) => entry.number);
    t.is(new Set(numbers).size, numbers.length);
  });
});
