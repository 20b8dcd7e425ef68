/**
 * Stand-in of one runner, as a process of its own (PROTOCOL.md, running tasks).
 * Its options are a JSON text in the first argument. It prints one JSON line for
 * each start and each end. A task runs for the ms that its job's `spec` names.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {setInterval, setTimeout, clearTimeout} from 'node:timers';
import {startJsonServer} from './server.mjs';

const options = JSON.parse(process.argv[2]);
const {id, host, port, capacity, holdMaxMs, isGuarded = true} = options;
const MAX_LISTED = 500;

const born = Date.now();
const clock = () => Math.floor(performance.now());
const running = new Map();
const highest = new Map();
let ends = [];
let lastSequence = 0;
let highestToken = 0;
let leaseUntil = 0;
let isDraining = false;
const waiting = new Set();

function print(event) {
  process.stdout.write(`${JSON.stringify({at: Date.now(), ...event})}\n`);
}

function handle({method, url, headers, body}) {
  const path = url.pathname.replace('/goldcrestpier/', '');
  if (method === 'GET' && url.pathname === '/health')
    return {status: isDraining ? 503 : 200};
  const expected = headers['x-goldcrestpier-expect-instance'] ?? id;
  if (expected !== id) return {status: 421};
  const token = body.fencing_token ?? 0;
  if (token < highestToken) return refuse('fence');
  highestToken = token;
  switch (`${method} ${path}`) {
    case 'POST run-start':
      return start(body);
    case 'POST run-stop':
      return stop(body);
    case 'POST hold':
      return hold(body);
    default:
      return {status: 404};
  }
}

function refuse(reason) {
  return {status: 409, body: {clock_ms: clock(), born, reason}};
}

function ok() {
  return {status: 200, body: {clock_ms: clock(), born}};
}

/** Extends the lease of all runs; at most `holdMaxMs` from now. */
function extendLease(until) {
  const longest = clock() + holdMaxMs;
  leaseUntil = Math.max(leaseUntil, Math.min(until, longest));
}

function start({task, run, spec = '', until_ms: until}) {
  if (until <= clock()) return refuse('late');
  const known = running.get(task);
  if (known?.run === run) {
    extendLease(until);
    return ok();
  }
  if (known !== undefined || run <= (highest.get(task) ?? 0)) {
    extendLease(until);
    return refuse('old');
  }
  const need = readNeed(spec, task);
  if (isGuarded && !fits(need)) {
    extendLease(until);
    return refuse('room');
  }
  if (running.size === 0) leaseUntil = 0;
  extendLease(until);
  const tookMs = readRunTime(spec, task);
  const timer = setTimeout(() => end(task, 'done'), tookMs);
  running.set(task, {run, need, timer, startedAt: Date.now(), tookMs});
  print({event: 'start', task, run, spec, used: sumUsed()});
  return ok();
}

/** Bodies of starts don't name the needs, so the spec of a test job does. */
function readNeed(spec, task) {
  const {cpu = 0} = parseSpec(spec);
  return Array.isArray(cpu) ? cpu[Number(task.split('.')[2])] : cpu;
}

function readRunTime(spec, task) {
  const {ms = 50} = parseSpec(spec);
  return Array.isArray(ms) ? ms[Number(task.split('.')[2])] : ms;
}

function parseSpec(spec) {
  try {
    return JSON.parse(spec);
  } catch {
    return {};
  }
}

function sumUsed() {
  let used = 0;
  for (const {need} of running.values()) used += need;
  return used;
}

function fits(need) {
  return sumUsed() + need <= capacity.cpu;
}

function stop({task, run}) {
  highest.set(task, Math.max(highest.get(task) ?? 0, run));
  if (running.get(task)?.run <= run) end(task, 'stopped');
  return ok();
}

async function hold(body) {
  const {last_seen: lastSeen = 0, until_ms: until, wait_ms: waitMs = 0} = body;
  if (until !== undefined) extendLease(until);
  ends = ends.filter(([sequence]) => sequence > lastSeen);
  const waitUntil = Date.now() + Math.min(waitMs, 2_000);
  while (ends.length === 0 && Date.now() < waitUntil)
    await waitForEnd(waitUntil - Date.now());
  const rows = [...running].map(([task, entry]) => {
    const elapsedMs = Date.now() - entry.startedAt;
    const percent = Math.floor((100 * elapsedMs) / entry.tookMs);
    return [task, entry.run, '', Math.min(percent, 99)];
  });
  const finished = ends.slice(0, MAX_LISTED);
  const report = {running: rows, finished};
  return {status: 200, body: {clock_ms: clock(), born, ...report}};
}

function waitForEnd(timeoutMs) {
  return new Promise(resolve => {
    const wake = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      resolve();
    };
    const timer = setTimeout(wake, timeoutMs);
    waiting.add(wake);
  });
}

function end(task, how) {
  const entry = running.get(task);
  if (entry === undefined) return;
  clearTimeout(entry.timer);
  running.delete(task);
  highest.set(task, Math.max(highest.get(task) ?? 0, entry.run));
  lastSequence += 1;
  ends.push([lastSequence, task, entry.run, how, '']);
  print({event: 'end', task, run: entry.run, how});
  for (const wake of [...waiting]) wake();
}

setInterval(() => {
  if (clock() < leaseUntil) return;
  for (const task of [...running.keys()]) end(task, 'lapsed');
}, 10);

process.on('SIGUSR2', () => {
  isDraining = true;
});
await startJsonServer(handle, host, port);
print({event: 'listening', born});
