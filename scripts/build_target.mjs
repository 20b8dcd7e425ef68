// Bundles the program that runs on the users' platform into target/, straight
// from the sources, so that the build writes nowhere else and starts fast.
import {copyFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

/** Leaves out what the program never uses but would load at each start. */
const lean = {
  name: 'lean',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: resolve('scripts/undici_core.cjs'),
    }));
    // HTTP/2 is offered by none of the servers that are called.
    build.onLoad(
      {filter: /undici[/\\]lib[/\\]dispatcher[/\\]client-h2\.js$/},
      () => ({
        contents: `module.exports = () => { throw new Error('no HTTP/2'); };`,
      }),
    );
    // No connection is encrypted.
    build.onResolve({filter: /^(https|tls)$/}, ({importer}) =>
      /[/\\]ws[/\\]lib[/\\]/.test(importer)
        ? {path: 'unused', namespace: 'unused'}
        : undefined,
    );
    build.onLoad({filter: /.*/, namespace: 'unused'}, () => ({
      contents: 'module.exports = {};',
    }));
    // Bunyan goes on without its optional parts when they can't be loaded.
    build.onResolve(
      {filter: /^(dtrace-provider|mv|safe-json-stringify|source-map-support)$/},
      ({path}) => ({path, namespace: 'missing'}),
    );
    build.onLoad({filter: /.*/, namespace: 'missing'}, ({path}) => ({
      contents: `throw new Error('${path} is not used');`,
    }));
  },
};

await build({
  entryPoints: ['platform/src/bin/goldcrestpier.ts'],
  outfile: 'target/goldcrestpier.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  legalComments: 'none',
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [lean],
  logLevel: 'warning',
});
copyFileSync('scripts/start_target.cjs', 'target/start.cjs');
