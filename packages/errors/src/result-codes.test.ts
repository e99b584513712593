import { readFile } from 'node:fs/promises';
import test from 'ava';
import { RESULT_CODES } from './result-codes.js';

test('result codes > match the documented table exactly', async (t) => {
  const page = await readFile(new URL('../../../docs/RESULT-CODES.md', import.meta.url), 'utf8');
  const documented = [...page.matchAll(/^\| (\d{4})\s+\| `(\w+)`\s+\| (\d{3})\s+\| (.+?)\s+\|$/gm)].map(
    (row) => row.slice(1),
  );
  const declared = Object.entries(RESULT_CODES).map(([name, entry]) => [
    `${entry.code}`,
    name,
    `${entry.status}`,
    entry.title,
  ]);
  t.deepEqual(documented, declared);
});

test('result codes > have unique numbers', (t) => {
  const codes = Object.values(RESULT_CODES).map((entry) => entry.code);
  t.is(new Set(codes).size, codes.length);
});
