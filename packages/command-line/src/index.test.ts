import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { spawn } from 'node:child_process';
import { describe } from '@baobabdeck/test-tools';
import type { ExecutionContext } from 'ava';

const BINARY = fileURLToPath(new URL('../bin/baobabdeck.js', import.meta.url));
const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url));

interface Result {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

async function run(...commandArguments: readonly string[]): Promise<Result> {
  const child = spawn(process.execPath, [BINARY, ...commandArguments], {
    env: { PATH: process.env.PATH },
  });
  const output = { stdout: '', stderr: '' };
  child.stdout.on('data', (chunk) => Object.assign(output, { stdout: output.stdout + String(chunk) }));
  child.stderr.on('data', (chunk) => Object.assign(output, { stderr: output.stderr + String(chunk) }));
  const code = await new Promise<number | null>((resolve) => {
    child.once('close', resolve);
  });
  return { code, ...output };
}

const GOOD = `[data-centres.a]
region = "r"
[hardware.h]
cores = 1
memory-gb = 1
[pools.p]
maximum-absent-hosts = 1
[services.s]
pool = "p"
[racks.k]
data-centre = "a"
pool = "p"
hardware = "h"
hosts = [{ id = "one", address = "127.0.0.1:1" }, { id = "two", address = "127.0.0.1:2" }]
`;

const DIGEST = 'a'.repeat(64);
const KEY = 'key-of-red';

function workspaceText(name: string, keyDigest: string): string {
  return `[workspaces.${name}]\nkey-digests = ["${keyDigest}"]\n`;
}

async function check(
  t: ExecutionContext,
  base: string,
  overlay: string | null,
  codes: readonly number[],
): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'baobabdeck-check-'));
  try {
    const files = ['--base', join(directory, 'base.toml')];
    await writeFile(join(directory, 'base.toml'), base);
    if (overlay !== null) {
      await writeFile(join(directory, 'overlay.toml'), overlay);
      files.push('--overlay', join(directory, 'overlay.toml'));
    }
    const result = await run('config', 'check', ...files);
    t.is(result.code, codes.length === 0 ? 0 : 2, result.stderr);
    t.deepEqual(
      [...result.stderr.matchAll(/\[(\d{4})\]/g)].map((match) => Number(match[1])),
      [...codes],
    );
    t.false(result.stderr.includes('    at '), 'no stack trace');
    t.false(result.stderr.includes(KEY), 'no key');
  } finally {
    await rm(directory, { recursive: true });
  }
}

describe('config check', ({ describe: within, it }) => {
  it('finds no fault in the examples', async (t) => {
    const colla = await run(
      'config',
      'check',
      '--base',
      `${EXAMPLES}colla-ateneo-base.toml`,
      '--overlay',
      `${EXAMPLES}colla-ateneo-brianza.toml`,
    );
    t.is(colla.stdout, 'no faults: 5 pools, 5 services, 10 racks, 40 hosts\n');
    const mtskheta = await run(
      'config',
      'check',
      '--base',
      `${EXAMPLES}mtskheta-base.toml`,
      '--overlay',
      `${EXAMPLES}mtskheta-western-georgia.toml`,
    );
    t.is(mtskheta.stdout, 'no faults: 5 pools, 5 services, 11 racks, 36 hosts\n');
  });

  within('names each fault by its code', ({ it: finds }) => {
    finds('none', (t) => check(t, GOOD, null, []));
    finds('wrong TOML', (t) => check(t, '[pools', null, [2002]));
    finds('an unknown key, twice', (t) =>
      check(t, `${GOOD}[pools.q]\nmaximum-absent-hosts = 0\nslots = 1\nspeed = 2\n`, null, [2003, 2003]),
    );
    finds('a wrong value', (t) =>
      check(t, GOOD.replace('maximum-absent-hosts = 1', 'maximum-absent-hosts = -1'), null, [2004]),
    );
    finds('a missing reference', (t) =>
      check(t, GOOD.replace('[services.s]\npool = "p"', '[services.s]\npool = "q"'), null, [2005]),
    );
    finds('an overlay for a pool that the base lacks', (t) =>
      check(t, GOOD, '[pools.q]\nmaximum-absent-hosts = 0\n', [2006]),
    );
    finds('a budget larger than the pool', (t) =>
      check(t, GOOD.replace('maximum-absent-hosts = 1', 'maximum-absent-hosts = 2'), null, [2007]),
    );
    finds('a key of two workspaces', (t) =>
      check(t, `${GOOD}${workspaceText('red', DIGEST)}${workspaceText('blue', DIGEST)}`, null, [2011]),
    );
    finds('none in workspaces with different keys', (t) =>
      check(t, `${GOOD}${workspaceText('red', DIGEST)}${workspaceText('blue', 'b'.repeat(64))}`, null, []),
    );
    finds('a key in place of its digest, and does not show it', (t) =>
      check(t, `${GOOD}${workspaceText('red', KEY)}`, null, [2004]),
    );
    finds('a host and an address listed twice', (t) =>
      check(
        t,
        GOOD.replace('"two", address = "127.0.0.1:2"', '"one", address = "127.0.0.1:1"'),
        null,
        [2008, 2008],
      ),
    );
  });
});

describe('bad usage', ({ it }) => {
  it('of an unknown command, a missing option or no platform ends with 2', async (t) => {
    t.is((await run('no-such-command')).code, 2);
    t.is((await run('config', 'check')).code, 2);
    t.is((await run('status')).code, 2);
    t.is((await run('config', 'check', '--base', '/no/such/file.toml')).code, 2);
  });

  it('of an unreachable log ends with 1 and says what to do', async (t) => {
    const result = await run('status', '--platform', 'http://127.0.0.1:9');
    t.is(result.code, 1);
    t.regex(result.stderr, /\[4001\]/);
  });
});
