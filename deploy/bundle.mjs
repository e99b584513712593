// Bundles the deployed program into one file, which starts in a fraction of the time that many files take.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/scheduler.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['source'],
  legalComments: 'none',
  // Optional parts of libraries, which do without them.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'cbor-extract'],
  // Packages in CommonJS call require, which an ES module does not have by itself.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
