// Starts the bundle beside it with its code cache, which spares each start the
// compilation. With --write-cache it writes that cache and ends. The cache only
// fits the version and the flags of Node that wrote it; else it is left unused.
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const Module = require('node:module');
const {join} = require('node:path');
const {Script} = require('node:vm');

const bundle = join(__dirname, 'goldcrestpier.cjs');
const cache = join(__dirname, 'goldcrestpier.cache');
const source = readFileSync(bundle, 'utf8').replace(/^#!.*/, '');
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
