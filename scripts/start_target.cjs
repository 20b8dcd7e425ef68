// Runs the bundle in this folder with its V8 code cache, which saves the
// compilation at each start. With --write-cache it writes the cache and exits.
// A cache from another version of Node.js or other flags is ignored.
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const bundle = join(__dirname, 'goldcrestpier.cjs');
const cache = join(__dirname, 'goldcrestpier.cache');
// The bundle is ASCII, which is read faster as Latin-1.
const source = readFileSync(bundle, 'latin1').replace(/^#!.*/, '');
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(Module.wrap(source), {filename: bundle, cachedData});
const isWriting = process.argv.includes('--write-cache');
if (isWriting) process.argv = [...process.argv.slice(0, 2), '--version'];
script.runInThisContext()(
  exports,
  Module.createRequire(bundle),
  module,
  bundle,
  __dirname,
);
if (isWriting) writeFileSync(cache, script.createCachedData());
