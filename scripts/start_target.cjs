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
/** Optional parts of bunyan that are not used; it goes on without them. */
const unused = new Set(['dtrace-provider', 'mv', 'safe-json-stringify']);
const requireModule = Module.createRequire(bundle);
const requireUsed = name => {
  if (unused.has(name)) throw new Error(`${name} is not used`);
  return requireModule(name);
};
const isWriting = process.argv.includes('--write-cache');
if (isWriting) process.argv = [...process.argv.slice(0, 2), '--version'];
script.runInThisContext()(exports, requireUsed, module, bundle, __dirname);
if (isWriting) writeFileSync(cache, script.createCachedData());
