// Bundles the program that runs on the users' platform into target/, directly
// from the sources: the build then writes no other files and starts without a
// compilation.
import {copyFileSync} from 'node:fs';
import {resolve} from 'node:path';
import {build} from 'esbuild';

/** Stands for a module that is loaded but never called. */
const unused = {path: 'unused', namespace: 'unused'};

/** Excludes modules that the program never uses but would load at each start. */
const lean = {
  name: 'lean',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: resolve('scripts/undici_core.cjs'),
    }));
    // None of the servers that the program calls offers HTTP/2.
    build.onLoad(
      {filter: /undici[/\\]lib[/\\]dispatcher[/\\]client-h2\.js$/},
      () => ({
        contents: `module.exports = () => { throw new Error('HTTP/2 is not bundled'); };`,
      }),
    );
    build.onResolve({filter: /^(node:)?assert$/}, () => ({
      path: resolve('scripts/lean_assert.cjs'),
    }));
    // No WebSocket connection uses TLS or compression.
    build.onResolve({filter: /^(https|tls|zlib)$/}, ({importer}) =>
      /[/\\]ws[/\\]lib[/\\]/.test(importer) ? unused : undefined,
    );
    // Messages of the schemas are in English only.
    build.onResolve({filter: /^\.\.\/locales\/index\.js$/}, ({importer}) =>
      /[/\\]zod[/\\]v4[/\\]/.test(importer) ? unused : undefined,
    );
    // The metrics are the program's own, and are fetched, not pushed.
    build.onResolve(
      {filter: /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/},
      ({importer}) =>
        /[/\\]prom-client[/\\]index\.js$/.test(importer) ? unused : undefined,
    );
    build.onLoad({filter: /.*/, namespace: 'unused'}, () => ({
      contents: 'module.exports = {};',
    }));
    // Bunyan works without its optional dependencies when they fail to load.
    build.onResolve(
      {filter: /^(dtrace-provider|mv|safe-json-stringify|source-map-support)$/},
      ({path}) => ({path, namespace: 'missing'}),
    );
    build.onLoad({filter: /.*/, namespace: 'missing'}, ({path}) => ({
      contents: `throw new Error('${path} is not bundled');`,
    }));
  },
};

/** Leaves the check of a configuration to a bundle that only it loads. */
const separateCheck = {
  name: 'separate check',
  setup(build) {
    build.onResolve({filter: /^\.\.\/check\/index\.js$/}, () => ({
      path: './check.cjs',
      external: true,
    }));
  },
};

const options = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  legalComments: 'none',
  minifySyntax: true,
  minifyWhitespace: true,
  // The bundle is run as a script, which can require modules but not import them.
  supported: {'dynamic-import': false},
  logLevel: 'warning',
};

await build({
  ...options,
  entryPoints: ['platform/src/bin/goldcrestpier.ts'],
  outfile: 'target/goldcrestpier.cjs',
  plugins: [lean, separateCheck],
});
await build({
  ...options,
  entryPoints: ['platform/src/check/index.ts'],
  outfile: 'target/check.cjs',
  // The JSON parser's main module is UMD, which can't be bundled.
  mainFields: ['module', 'main'],
  plugins: [lean],
});
copyFileSync('scripts/start_target.cjs', 'target/start.cjs');
