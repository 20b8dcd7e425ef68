// Bundles the program that runs on the users' platform into target/, straight
// from the sources, so that the build writes nowhere else and starts fast.
import {copyFileSync} from 'node:fs';
import {build} from 'esbuild';

await build({
  entryPoints: ['platform/src/bin/goldcrestpier.ts'],
  outfile: 'target/goldcrestpier.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  // Optional parts of bunyan that are not used.
  external: [
    'dtrace-provider',
    'mv',
    'source-map-support',
    'safe-json-stringify',
  ],
  legalComments: 'none',
  logLevel: 'warning',
});
copyFileSync('scripts/start_target.cjs', 'target/start.cjs');
