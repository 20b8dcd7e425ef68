// Runs all compiled test files. Failures of tests that KNOWN-RED.txt lists are
// printed and don't fail the run.
import {spec} from 'node:test/reporters';
import {run} from 'node:test';
import {readFileSync, existsSync, readdirSync} from 'node:fs';
import {join} from 'node:path';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
/** Tests of a process's memory, which run after all others and one at a time. */
const ALONE = [
  'client_limits.test.js',
  'endless_trailers.test.js',
  'mixed_crowds.test.js',
  'unfinished_requests.test.js',
  'unread_answers.test.js',
];

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

function findTests(directory) {
  if (!existsSync(directory)) return [];
  return readdirSync(directory, {recursive: true})
    .filter(name => name.endsWith('.test.js'))
    .map(name => join(directory, name));
}

const only = process.argv.slice(2);
const projects = readdirSync('packages').map(name => join('packages', name));
const files = [...projects, 'platform']
  .flatMap(project => findTests(join(project, 'dist', 'test')))
  .filter(file => only.length === 0 || only.some(part => file.includes(part)))
  .sort();

const knownRed = readKnownRed();
const seenRed = [];
let failures = 0;
let passes = 0;

/** Runs these files; counts and prints their tests. */
async function runFiles(selected, concurrency) {
  if (selected.length === 0) return;
  const stream = run({files: selected, concurrency, timeout: 300_000});
  stream.on('test:fail', ({name, details}) => {
    if (details?.error?.failureType === 'subtestsFailed') return;
    if (knownRed.includes(name)) {
      seenRed.push(name);
      return;
    }
    failures += 1;
  });
  stream.on('test:pass', () => {
    passes += 1;
  });
  for await (const line of stream.compose(new spec()))
    process.stdout.write(line);
}

const isAlone = file => ALONE.some(name => file.endsWith(name));
await runFiles(
  files.filter(file => !isAlone(file)),
  4,
);
await runFiles(files.filter(isAlone), 1);

for (const name of seenRed) console.log(`known red: ${name}`);
const missing = knownRed.filter(name => !seenRed.includes(name));
for (const name of missing) console.log(`known red, but not seen: ${name}`);
console.log(`tests: ${passes} passed, ${failures} failed`);
process.exitCode = failures > 0 || passes === 0 ? 1 : 0;
