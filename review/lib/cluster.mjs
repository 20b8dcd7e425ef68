/**
 * A small deployment on loopback addresses: the project's own program, started
 * with the command of the deploy file, and stand-ins of the platform, of runners
 * and of clients.
 */
import {spawn} from 'node:child_process';
import {randomBytes, randomInt} from 'node:crypto';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request as send} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setInterval, clearInterval, setTimeout} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startProxy} from './proxy.mjs';
import {Store} from './store.mjs';

const LIBRARY = dirname(fileURLToPath(import.meta.url));
const ROOT = join(LIBRARY, '..', '..');
export const SERVICE = 'pricing';
export const HOST = 'shop.example';
export const HOLD_MAX_MS = 1_000;
/** A client sends a job again this long after it got no answer. */
export const RESEND_MS = 1_300;
const HEARTBEAT_MS = 1_500;
const MISSED_HEARTBEATS = 3;
const START_TIMEOUT_MS = 20_000;
/** Exit codes of a script. */
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_UNABLE = 2;
/** Of a runner of the small sites. */
export const CAPACITY = {cpu: 64_000, mem_mb: 131_072, gpu: 0};

/** A case that has not ended after this time could not run. */
const MAX_CASE_MS = 112_000;

/** Waits for a time in ms. */
export const sleep = ms => delay(ms);

/** Why a case could not run; the script then exits with 2. */
export class Unable extends Error {}

/** A job ID as clients choose it. */
export function newId() {
  return randomBytes(8).toString('hex');
}

/** A route of the manifest, as the small sites have it. */
export function createRoute(name, changes = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'non_idempotent',
    timeout_ms: 1_500,
    target_runtime_ms: 60,
    priority: 1,
    service: SERVICE,
    max_attempts: 3,
    stretch: 1.6,
    ...changes,
  };
}

/** Starts and ends all processes of a case and keeps its record. */
export class Cluster {
  constructor({folder, zones, workersEach, instancesEach}) {
    this.zones = zones;
    this.workersEach = workersEach;
    this.instancesEach = instancesEach;
    this.recordPath = join(folder, 'record.txt');
    writeFileSync(this.recordPath, '');
    this.startedAt = Date.now();
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.subnet = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
    this.store = new Store();
    this.instances = [];
    this.workers = [];
    this.proxies = [];
    /** Every run: `{task, run, worker, life, startedAt, endedAt, how}`. */
    this.runs = [];
    this.version = 7;
    this.isClosing = false;
    /** Calls to runners, and those of them that were held back. */
    this.callCount = 0;
    this.lateCount = 0;
  }

  /** Adds a line to the record, with the seconds since the start. */
  record(text, at = Date.now()) {
    const seconds = ((at - this.startedAt) / 1_000).toFixed(3);
    writeFileSync(this.recordPath, `${seconds} ${text}\n`, {flag: 'a'});
  }

  async start(routes, services = {}) {
    if (!existsSync(join(ROOT, 'target', 'start.cjs')))
      throw new Unable('target/ is missing: run the build of the deploy file');
    this.setManifest(routes, services);
    this.ports = await findPorts(`${this.subnet}.10`, 3);
    for (const zone of this.zones) {
      for (let index = 1; index <= this.workersEach; index += 1)
        await this.addWorker({zone, rack: `r-${zone}`});
    }
    for (const zone of this.zones) {
      for (let index = 1; index <= this.instancesEach; index += 1)
        await this.addInstance(zone, index);
    }
    this.heartbeats = setInterval(() => this.beat(), HEARTBEAT_MS);
    await this.waitUntilReady(this.instances);
    await sleep(1_000);
  }

  /** Writes the next version of the manifest, as the operator does. */
  setManifest(routes, services = {}) {
    this.version += 3;
    this.routes = routes;
    const service = {
      name: SERVICE,
      health_path: '/health',
      max_conns: 64,
      protocol: 'h1',
      tls: false,
      admission_check: true,
      standby: false,
      ...services,
    };
    this.store.set('op/config', {
      version: this.version,
      routes,
      services: [service],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
      },
    });
  }

  // Runners.

  /** Starts a runner behind a proxy and registers it. */
  async addWorker({zone, rack, labels, capacity = CAPACITY, ...rest}) {
    const index = this.workers.length;
    const id = `i-${randomBytes(5).toString('hex')}`;
    const host = `${this.subnet}.${100 + index}`;
    const [port, innerPort] = await findPorts(host, 2);
    const worker = {
      id,
      zone,
      host,
      port,
      innerPort,
      capacity,
      labels: labels ?? ['a', rack],
      state: 'ready',
      lives: 0,
      chooseDelay: undefined,
      ...rest,
    };
    worker.proxy = await startProxy({
      host,
      port,
      target: {host, port: innerPort},
      chooseDelay: call => this.countCall(worker.chooseDelay?.(call)),
      onLate: (call, answer) =>
        this.record(`late ${call.path} at ${id}: ${call.text} -> ${answer}`),
    });
    this.workers.push(worker);
    await this.startWorker(worker);
    return worker;
  }

  countCall(delayMs) {
    this.callCount += 1;
    if (delayMs !== undefined) this.lateCount += 1;
    return delayMs;
  }

  /** Starts a life of a runner, under the id that it has. */
  async startWorker(worker) {
    if (this.isClosing) return;
    const {id, host, innerPort, capacity, isGuarded} = worker;
    const options = {
      id,
      host,
      port: innerPort,
      capacity,
      isGuarded,
      holdMaxMs: HOLD_MAX_MS,
    };
    const child = spawn(
      process.execPath,
      [join(LIBRARY, 'worker.mjs'), JSON.stringify(options)],
      {stdio: ['ignore', 'pipe', 'inherit'], env: {PATH: process.env.PATH}},
    );
    worker.child = child;
    worker.lives += 1;
    const life = worker.lives;
    child.once('exit', () => this.endLife(worker, life));
    const lines = createInterface({input: child.stdout});
    await new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Unable('a runner did not start')));
      lines.on('line', line => {
        const event = JSON.parse(line);
        if (event.event === 'listening') {
          worker.born = event.born;
          resolve();
        } else this.recordRun(worker, life, event);
      });
    });
    worker.isUp = true;
    this.register(worker);
  }

  /** Kills a runner; it sends nothing more. */
  killWorker(worker) {
    this.record(`runner ${worker.id} is killed`);
    worker.isUp = false;
    worker.downSince = Date.now();
    worker.child.kill('SIGKILL');
  }

  endLife(worker, life) {
    const at = worker.downSince ?? Date.now();
    for (const run of this.runs) {
      const isHere = run.worker === worker.id && run.life === life;
      if (!isHere || run.endedAt !== Infinity) continue;
      run.endedAt = at;
      run.how = 'killed';
    }
  }

  recordRun(worker, life, {event, at, task, run, how, spec, used}) {
    const name = `${task} run ${run} at ${worker.id}/${life}`;
    if (event === 'start') {
      this.record(`start ${name}`, at);
      const times = {startedAt: at, endedAt: Infinity};
      const place = {worker: worker.id, life, labels: worker.labels};
      this.runs.push({task, run, spec, used, ...place, ...times});
      this.onStart?.(worker, {task, run});
      return;
    }
    this.record(`end ${name}: ${how}`, at);
    const found = this.runs.findLast(
      entry =>
        entry.task === task &&
        entry.run === run &&
        entry.worker === worker.id &&
        entry.life === life,
    );
    found.endedAt = at;
    found.how = how;
  }

  /** Writes the entry of a runner. */
  register(worker) {
    const {id, host, port, zone, capacity, labels, state, born} = worker;
    worker.seq = (worker.seq ?? 0) + 1;
    this.store.set(`servers/${id}`, {
      service: SERVICE,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state,
      cold_left_ms: 0,
      capacity,
      labels,
      clock_ms: Date.now() - born,
      born,
      seq: worker.seq,
    });
  }

  /** Heartbeats of the runners; entries of silent ones are removed. */
  beat() {
    const silentMs = MISSED_HEARTBEATS * HEARTBEAT_MS;
    for (const worker of this.workers) {
      if (worker.isUp) this.register(worker);
      else if (Date.now() - worker.downSince >= silentMs)
        this.store.remove(`servers/${worker.id}`);
    }
  }

  // Instances.

  async addInstance(zone, index) {
    const number = this.instances.length;
    const ip = `${this.subnet}.${10 + number}`;
    const name = `front-${zone}-${index}`;
    const store = await this.store.listen(`${this.subnet}.250`, name);
    const instance = {name, zone, ip, store, log: []};
    this.instances.push(instance);
    this.startInstance(instance);
    return instance;
  }

  startInstance(instance) {
    if (this.isClosing) return;
    const path = join(this.directory, `${instance.name}.toml`);
    writeFileSync(path, this.formatSettings(instance));
    const [program, ...rest] = readCommand();
    const {PATH, HOME, LANG} = process.env;
    const env = {PATH, HOME, LANG, GOLDCRESTPIER_BOOT: path};
    const stdio = ['ignore', 'pipe', 'inherit'];
    const file = program === 'node' ? process.execPath : program;
    const child = spawn(file, rest, {cwd: ROOT, env, stdio});
    instance.child = child;
    instance.isUp = true;
    child.once('exit', (code, signal) => {
      if (instance.child === child) instance.isUp = false;
      this.record(`${instance.name} ended: ${code ?? signal}`);
    });
    const lines = createInterface({input: child.stdout});
    lines.on('line', line => {
      instance.log.push(line);
      this.onLog?.(instance, line);
    });
  }

  formatSettings({name, ip, zone, store}) {
    const [front, ready, peers] = this.ports;
    const seeds = this.instances
      .slice(0, 3)
      .map(each => `"${each.ip}:${peers + 20}"`);
    return [
      `node_name = "${name}"`,
      'role = "entry"',
      'machine_class = "front"',
      'serves = ["front","control"]',
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'region = "luzon-south"',
      `internal_ports = [${peers},${peers + 15}]`,
      `seeds = [${seeds.join(',')}]`,
      'bootstrap = true',
      'heartbeat_ms = 1500',
      '[zones]',
      ...this.zones.map(each => `${each} = "luzon-south"`),
      '[listen]',
      `front = "${ip}:${front}"`,
      `ready = "${ip}:${ready}"`,
      `control_plane = "${ip}:${peers + 20}"`,
      '[limits]',
      'cpu_share = 0.675',
      'cores = 1',
      'memory_mb = 350',
      'max_fds = 4100',
      '[bounds]',
      'contact_ms = 3000',
      'drain_ms = 2000',
      'grace_s = 6',
      'config_apply_ms = 2000',
      `hold_max_ms = ${HOLD_MAX_MS}`,
      'stop_ms = 50',
      `resend_ms = ${RESEND_MS}`,
      '[platform]',
      `address = "${store}"`,
      'ttl_min_ms = 1000',
      '',
    ].join('\n');
  }

  async waitUntilReady(instances) {
    const until = Date.now() + START_TIMEOUT_MS;
    for (const {ip, name} of instances) {
      while (!(await this.isReady(ip))) {
        if (Date.now() > until) throw new Unable(`${name} is not ready`);
        await sleep(50);
      }
    }
  }

  async isReady(ip) {
    const path = '/goldcrestpier/ready';
    const answer = await exchange({host: ip, port: this.ports[1], path});
    return answer.status === 200;
  }

  /** The instance that holds a zone's workers, by the store's entries. */
  findHolder(zone) {
    let best;
    for (const {key, value} of this.store.items.values()) {
      if (!key.startsWith('instances/')) continue;
      const entry = JSON.parse(globalThis.atob(value));
      if (entry.zone !== zone || entry.holderToken === undefined) continue;
      if (best === undefined || entry.holderToken > best.holderToken)
        best = entry;
    }
    const ip = best?.address.split(':')[0];
    return this.instances.find(each => each.ip === ip);
  }

  /** Makes the store refuse all calls of these instances, and of no others. */
  turnAway(instances) {
    const names = instances.map(({name}) => name).join(' ');
    this.record(`the store turns away: ${names || 'none'}`);
    this.store.refused = new Set(instances.map(({name}) => name));
  }

  // Clients.

  /** Sends one request of a client; the answer has no status if none came. */
  async call(instance, method, path, body, timeoutMs = 1_500) {
    const answer = await exchange({
      host: instance.ip,
      port: instance.port ?? this.ports[0],
      path,
      method,
      body,
      timeoutMs,
      headers: {
        host: HOST,
        'content-type': 'application/json',
        'x-goldcrestpier-deadline-ms': String(timeoutMs),
      },
    });
    const status = answer.status ?? 'no answer';
    this.record(
      `${method} ${path} at ${instance.name}: ${status} ${answer.text}`,
    );
    return answer;
  }

  /**
   * Submits a job as clients do: after no answer, 502 or 504 it is sent again
   * `RESEND_MS` later, to another instance of the zone.
   */
  async submit(instances, path, body, {timeoutMs = 1_500, attempts = 3} = {}) {
    const answers = [];
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const instance = instances[attempt % instances.length];
      this.record(`POST ${path} is sent to ${instance.name}`);
      const answer = await this.call(instance, 'POST', path, body, timeoutMs);
      answers.push(answer);
      const isFinal = ![undefined, 502, 504].includes(answer.status);
      if (isFinal) return answers;
      await sleep(RESEND_MS);
    }
    return answers;
  }

  /** Sends small jobs to all zones until `isOver`, as the usual traffic. */
  async sendOrdinary(queue, intervalMs, isOver) {
    const spec = JSON.stringify({ms: 60, cpu: 2_000});
    const step = {count: 2, cpu: 2_000, mem_mb: 64, estimate_ms: 60};
    const body = {spec, steps: [step], best_effort: true};
    while (!isOver()) {
      for (const zone of this.zones) {
        const instances = this.instances.filter(each => each.zone === zone);
        const path = `/${queue}/${newId()}`;
        void this.submit(instances, path, body, {attempts: 1});
      }
      await sleep(intervalMs);
    }
  }

  /** Pairs of runs of one task that overlapped by more than `slackMs`. */
  findOverlaps(slackMs = 20) {
    const pairs = [];
    for (const [index, one] of this.runs.entries()) {
      for (const other of this.runs.slice(index + 1)) {
        if (one.task !== other.task) continue;
        const from = Math.max(one.startedAt, other.startedAt);
        const to = Math.min(
          one.endedAt === Infinity ? Date.now() : one.endedAt,
          other.endedAt === Infinity ? Date.now() : other.endedAt,
        );
        if (to - from > slackMs) pairs.push({one, other, ms: to - from});
      }
    }
    return pairs;
  }

  /** Ends all processes and servers that the case started. */
  async close() {
    this.isClosing = true;
    clearInterval(this.heartbeats);
    const children = [...this.instances, ...this.workers].map(
      ({child}) => child,
    );
    for (const child of children) {
      if (child === undefined || child.exitCode !== null) continue;
      if (child.signalCode !== null) continue;
      const ended = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      child.kill('SIGCONT');
      await ended;
    }
    for (const {proxy} of this.workers) {
      proxy?.closeAllConnections();
      proxy?.close();
    }
    this.store.close();
    rmSync(this.directory, {recursive: true});
  }
}

/** Runs a case and exits with 1 if it found the rule broken, 0 or 2 else. */
export async function runCase(options, body) {
  const cluster = new Cluster(options);
  const end = async code => {
    if (cluster.isClosing) return;
    await cluster.close();
    process.exit(code);
  };
  const fail = cause => {
    cluster.record(`could not run: ${cause.stack}`);
    void end(EXIT_UNABLE);
  };
  setTimeout(() => fail(new Unable('it took too long')), MAX_CASE_MS);
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.once(signal, () => fail(new Unable(signal)));
  process.on('unhandledRejection', fail);
  try {
    const problem = await body(cluster, process.env.TROUBLE !== '0');
    const {callCount, lateCount} = cluster;
    cluster.record(
      `${lateCount} of ${callCount} calls to runners were held back`,
    );
    cluster.record(problem === undefined ? 'held' : `BROKEN: ${problem}`);
    await end(problem === undefined ? EXIT_HELD : EXIT_BROKEN);
  } catch (cause) {
    fail(cause);
  }
}

/** The command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(text);
  return command.split(' ');
}

/** Finds free ports on an address. */
async function findPorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({host, port: 0}, resolve);
    });
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  for (const server of servers)
    await new Promise(resolve => server.close(resolve));
  return ports;
}

/** Sends an HTTP request; `status` is undefined if no whole answer came. */
function exchange({body, timeoutMs = 1_000, method = 'GET', ...rest}) {
  return new Promise(resolve => {
    const none = {status: undefined, text: ''};
    const request = send({method, agent: false, ...rest}, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', part => (text += part));
      response.on('end', () => resolve({status: response.statusCode, text}));
      response.on('error', () => resolve(none));
      response.on('close', () => resolve(none));
    });
    request.on('error', () => resolve(none));
    request.setTimeout(timeoutMs + 200, () => request.destroy());
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
