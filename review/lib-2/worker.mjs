/** Stand-in of a runner ("worker") that follows the platform's page on tasks. */
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {startJsonServer} from './http.mjs';

const HOLD_MAX_MS = 1_000;
const LEASE_CHECK_MS = 10;

/** A sound worker; a task runs as many ms as its spec says. */
export class Worker {
  /** `record` is called with each start, end and rejected order. */
  constructor({id, zone, service, host, store, record, capacity, labels}) {
    Object.assign(this, {id, zone, service, host, store, record});
    this.capacity = capacity ?? {cpu: 64_000, mem_mb: 131_072, gpu: 0};
    this.labels = labels ?? ['a', `r-${zone}`];
    this.state = 'ready';
    this.seq = 0;
    this.runs = new Map();
    this.endedRuns = new Map();
    this.ends = [];
    this.lastEnd = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.wakers = new Set();
    this.intercept = undefined;
  }

  start() {
    return this.restart(0);
  }

  /** Begins a life, which knows nothing of earlier ones. */
  async restart(port) {
    this.born = Date.now();
    this.server = await startJsonServer(this.host, port, call =>
      this.handle(call),
    );
    this.address = `${this.host}:${this.server.port}`;
    this.report();
    this.leaseTimer = setInterval(() => this.lapse(), LEASE_CHECK_MS);
  }

  async close() {
    clearInterval(this.leaseTimer);
    for (const {timer} of this.runs.values()) clearTimeout(timer);
    for (const wake of [...this.wakers]) wake();
    await this.server?.close();
  }

  /** Writes the worker's own entry to the store. */
  report() {
    const {service, address, zone, state, capacity, labels, born} = this;
    this.seq += 1;
    const entry = {service, address, zone, version: 'v1', slots: 8, state};
    const more = {cold_left_ms: 0, capacity, labels, born, seq: this.seq};
    this.store.set(`servers/${this.id}`, {...entry, ...more});
  }

  /** The worker's steady clock, which begins with its life. */
  clock() {
    return Date.now() - this.born;
  }

  async handle(request) {
    const instead = await this.intercept?.(request);
    if (instead !== undefined) return instead.answer;
    return this.answer(request);
  }

  answer({url, headers, body}) {
    const expected = headers['x-goldcrestpier-expect-instance'] ?? this.id;
    if (expected !== this.id) return {status: 421};
    const token = body.fencing_token ?? 0;
    if (token < this.token) return this.reject('fence');
    this.token = token;
    switch (url.pathname) {
      case '/goldcrestpier/run-start':
        return this.startRun(body);
      case '/goldcrestpier/run-stop':
        return this.stopRun(body);
      case '/goldcrestpier/hold':
        return this.hold(body);
      default:
        return {status: 404};
    }
  }

  reject(reason) {
    return {status: 409, body: {clock_ms: this.clock(), reason}};
  }

  extendLease(until) {
    const longest = this.clock() + HOLD_MAX_MS;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, longest));
  }

  startRun({task, run, spec, until_ms: until}) {
    if (until <= this.clock()) return this.reject('late');
    this.extendLease(until);
    if (run <= (this.endedRuns.get(task) ?? 0)) return this.reject('old');
    if (this.runs.has(`${task} ${run}`))
      return {status: 200, body: {clock_ms: this.clock()}};
    const cpu = (this.runs.size + 1) * 1_000;
    if (cpu > this.capacity.cpu) return this.reject('room');
    const durationMs = Number(spec);
    const end = () => this.endRun(task, run, 'done');
    const timer = setTimeout(end, durationMs);
    const startedAt = Date.now();
    this.runs.set(`${task} ${run}`, {task, run, timer, startedAt, durationMs});
    const {id: worker, zone, labels} = this;
    this.record('start', {worker, zone, task, run, labels});
    return {status: 200, body: {clock_ms: this.clock()}};
  }

  stopRun({task, run}) {
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
    for (const each of [...this.runs.values()])
      if (each.task === task && each.run <= run)
        this.endRun(task, each.run, 'stopped');
    return {status: 200, body: {clock_ms: this.clock()}};
  }

  endRun(task, run, how) {
    const known = this.runs.get(`${task} ${run}`);
    if (known === undefined) return;
    clearTimeout(known.timer);
    this.runs.delete(`${task} ${run}`);
    this.endedRuns.set(task, Math.max(run, this.endedRuns.get(task) ?? 0));
    this.lastEnd += 1;
    this.ends.push([this.lastEnd, task, run, how, '']);
    this.record('end', {worker: this.id, zone: this.zone, task, run, how});
    for (const wake of [...this.wakers]) wake();
  }

  lapse() {
    if (this.clock() < this.leaseUntil) return;
    for (const {task, run} of [...this.runs.values()])
      this.endRun(task, run, 'lapsed');
  }

  async hold({last_seen: lastSeen = 0, until_ms: until, wait_ms: waitMs = 0}) {
    if (until !== undefined) this.extendLease(until);
    this.ends = this.ends.filter(([number]) => number > lastSeen);
    const endsAt = Date.now() + waitMs;
    while (this.ends.length === 0 && Date.now() < endsAt) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.wakers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, endsAt - Date.now()));
        this.wakers.add(wake);
      });
    }
    const now = Date.now();
    const running = [...this.runs.values()].map(each => {
      const {task, run, startedAt, durationMs} = each;
      const percent = Math.floor((100 * (now - startedAt)) / durationMs);
      return [task, run, '', Math.min(99, percent), 1_000];
    });
    const finished = this.ends.slice(0, 500);
    const body = {clock_ms: this.clock(), born: this.born, running, finished};
    return {status: 200, body};
  }
}
