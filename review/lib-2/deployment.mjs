/** A small deployment: the project's program in processes, and stand-ins. */
import {spawn} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {sendJson} from './http.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_TIMEOUT_MS = 30_000;
export const SERVICE = 'pricing';
export const HOST = 'shop.example';
export const PREFIX = '/quotes/';

/** Creates a new job id as clients do. */
export function createJobId() {
  return randomBytes(8).toString('hex');
}

/** Creates a manifest with one route. */
export function createManifest(version, changes = {}) {
  const route = {name: 'quotes', host: HOST, prefix: PREFIX};
  const kind = {kind: 'non_idempotent', timeout_ms: 5_000};
  const limits = {max_header_bytes: 16_384, max_body_bytes: 262_144};
  return {
    version,
    routes: [
      {
        ...route,
        ...kind,
        target_runtime_ms: 3_000,
        priority: 0,
        service: SERVICE,
        max_attempts: 2,
        stretch: 1.6,
        ...changes,
      },
    ],
    services: [
      {
        name: SERVICE,
        health_path: '/health',
        max_conns: 64,
        protocol: 'h1',
        tls: false,
        admission_check: true,
        standby: false,
      },
    ],
    limits: {...limits, header_timeout_ms: 3_000, idle_timeout_ms: 15_000},
  };
}

/** Runs one case; `TROUBLE=0` leaves the disruption out. */
export class Deployment {
  constructor(recordPath) {
    this.recordPath = recordPath;
    this.startedAt = Date.now();
    this.lines = [];
    this.instances = [];
    this.workers = [];
    this.events = [];
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Writes down what was sent, answered or run. */
  record(kind, fields) {
    const at = Date.now() - this.startedAt;
    this.events.push({at, kind, ...fields});
    this.lines.push(`${at} ${kind} ${JSON.stringify(fields)}`);
  }

  /** Starts stand-ins and one process for each entry of `instances`. */
  async start({zones, instances, workersEach, manifest, workerOptions}) {
    this.zones = zones;
    this.net = await findNet();
    this.store = new Store();
    await this.store.start(`${this.net}.1`);
    for (const zone of zones)
      for (let index = 0; index < workersEach; index += 1)
        await this.addWorker({
          id: `w-${zone}-${index}`,
          zone,
          ...workerOptions,
        });
    this.store.set('op/config', manifest ?? createManifest(7));
    await Promise.all(instances.map(options => this.addInstance(options)));
    await Promise.all(this.instances.map(each => this.waitUntilReady(each)));
    // Beyond the time in which holders and zones learn of each other.
    await sleep(4_000);
  }

  async addWorker(options) {
    const index = this.workers.length;
    const worker = new Worker({
      service: SERVICE,
      host: `${this.net}.${100 + index}`,
      store: this.store,
      record: (kind, fields) => this.record(kind, fields),
      ...options,
    });
    await worker.start();
    this.workers.push(worker);
    return worker;
  }

  /** Starts the program with the words of the deploy file. */
  addInstance({name, zone, processors = 0.675, seeds = [], extra = []}) {
    const index = this.instances.length;
    const ip = `${this.net}.${10 + index}`;
    const path = join(this.directory, `${name}.toml`);
    const settings = {ip, name, zone, processors, seeds};
    writeFileSync(path, this.formatSettings(settings));
    const instance = {name, zone, ip, path, extra, log: []};
    instance.callers = `${ip}:8161`;
    instance.ready = `${ip}:8167`;
    this.instances.push(instance);
    this.spawn(instance);
    return instance;
  }

  spawn(instance) {
    const {name, path} = instance;
    const [command, ...words] = readRunWords();
    const {PATH, HOME, LANG = 'C'} = process.env;
    const env = {PATH, HOME, LANG, GOLDCRESTPIER_BOOT: path};
    const child = spawn(command, words, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', text => instance.log.push(text.toString('utf8')));
    instance.process = child;
    instance.exits = instance.exits ?? [];
    child.once('exit', (code, signal) => {
      instance.exits.push({code, signal});
      this.record('exit', {instance: name, code, signal});
    });
    this.record('spawn', {instance: name});
  }

  async waitUntilReady({name, ready}) {
    const until = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < until) {
      const {status} = await sendJson(ready, 'GET', '/goldcrestpier/ready');
      if (status === 200) return;
      await sleep(50);
    }
    throw new CannotRun(`${name} isn't ready`);
  }

  /** Sends a request as a client does, and records it with its answer. */
  async request(instance, method, id, options = {}) {
    const {body, timeoutMs = 5_000, prefix = PREFIX} = options;
    const {name, zone} = instance;
    this.record('sent', {method, job: id, instance: name, zone, body});
    const headers = {
      host: HOST,
      'x-goldcrestpier-deadline-ms': String(timeoutMs),
    };
    const answer = await sendJson(instance.callers, method, prefix + id, {
      ...options,
      headers,
      body,
      timeoutMs,
    });
    const {status, body: text} = answer;
    this.record('answered', {method, job: id, instance: name, status, text});
    return answer;
  }

  /** Ends all processes that it started, and writes the record. */
  async close() {
    for (const {process: child} of this.instances) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exited = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await exited;
    }
    for (const worker of this.workers) await worker.close();
    await this.store?.close();
    rmSync(this.directory, {recursive: true, force: true});
    writeFileSync(this.recordPath, this.lines.join('\n') + '\n');
  }

  formatSettings({ip, name, zone, processors, seeds}) {
    return [
      `node_name = "${name}"`,
      'role = "entry"',
      'machine_class = "front"',
      'serves = ["front", "control"]',
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'region = "region"',
      'internal_ports = [7720, 7735]',
      `seeds = ${JSON.stringify(seeds)}`,
      'bootstrap = true',
      'heartbeat_ms = 1500',
      'orders = "call"',
      '[zones]',
      ...this.zones.map(each => `${each} = "region"`),
      '[listen]',
      `front = "${ip}:8161"`,
      `ready = "${ip}:8167"`,
      `control_plane = "${ip}:8166"`,
      '[limits]',
      `cpu_share = ${processors}`,
      'cores = 1',
      'memory_mb = 350',
      'max_fds = 4100',
      '[bounds]',
      'contact_ms = 3000',
      'ack_ms = 4000',
      'drain_ms = 2000',
      'grace_s = 6',
      'config_apply_ms = 2000',
      'hold_max_ms = 1000',
      'stop_ms = 50',
      'cancel_ms = 3000',
      'visible_ms = 3000',
      'resend_ms = 1300',
      '[platform]',
      `address = "${this.store.address}"`,
      'form = "kv"',
      'writes_per_s = 400',
      'reads_per_s = 2000',
      'history_s = 20',
      'ttl_min_ms = 1000',
      '',
    ].join('\n');
  }
}

/** The case couldn't run, which says nothing about the rule. */
export class CannotRun extends Error {}

/**
 * Runs a case and exits: 1 if `play` resolves to broken rules, 0 if to none, 2
 * if the case couldn't run.
 */
export async function runCase(recordPath, play) {
  const isTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(recordPath);
  let code = 2;
  try {
    const broken = await play(deployment, isTrouble);
    for (const line of broken) deployment.record('broken', {rule: line});
    code = broken.length > 0 ? 1 : 0;
  } catch (cause) {
    deployment.record('could not run', {cause: String(cause.stack ?? cause)});
  }
  await deployment.close();
  const lines = deployment.events.filter(({kind}) =>
    ['broken', 'could not run'].includes(kind),
  );
  for (const line of lines) process.stdout.write(JSON.stringify(line) + '\n');
  process.stdout.write(`exit ${code}\n`);
  process.exit(code);
}

/** The words of `run` in the deploy file. */
function readRunWords() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const line = /^run = "(?<words>[^"]*)"$/m.exec(text);
  return line.groups.words.split(' ');
}

/** Finds a /24 of the loopback range in which the fixed ports are free. */
async function findNet() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const net = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    if (await isFree(`${net}.10`, 8161)) return net;
  }
  throw new CannotRun('no free loopback addresses');
}

async function isFree(host, port) {
  const server = createServer();
  try {
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({host, port}, resolve);
    });
  } catch {
    return false;
  }
  await new Promise(resolve => server.close(resolve));
  return true;
}
