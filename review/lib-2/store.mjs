/** Stand-in of the platform's store: items, leases, history and watches. */
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {startJsonServer} from './http.mjs';

const PAGE_SIZE = 500;

/** A sound store. `intercept(call, request)` may delay or replace an answer. */
export class Store {
  constructor() {
    this.revision = 1;
    this.items = new Map();
    this.events = [];
    this.leases = new Map();
    this.lastLease = 0;
    this.watchers = new Set();
    this.intercept = undefined;
  }

  async start(host) {
    this.server = await startJsonServer(host, 0, call => this.handle(call));
    this.address = `${host}:${this.server.port}`;
  }

  async close() {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    for (const wake of [...this.watchers]) wake();
    await this.server?.close();
  }

  /** Writes a key as the operator or a worker does. */
  set(key, value) {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.publish({key, revision: this.revision, deleted: true});
  }

  write(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.publish(item);
  }

  publish(event) {
    this.events.push(event);
    for (const wake of [...this.watchers]) wake();
  }

  async handle(request) {
    const name = request.url.pathname.split('/')[2];
    const instead = await this.intercept?.(name, request);
    if (instead !== undefined) return instead.answer;
    switch (name) {
      case 'kv-key':
        return this.readKey(request.url);
      case 'kv-range':
        return this.readRange(request.url);
      case 'kv-watch':
        return this.watch(request.url);
      case 'kv-txn':
        return this.transact(request.body);
      case 'kv-lease':
        return this.grant(request.body);
      case 'kv-keep':
        return this.keep(Number(request.url.pathname.split('/')[3]));
      case 'kv-lease-end':
        return this.endLease(Number(request.url.pathname.split('/')[3]));
      default:
        return {status: 404};
    }
  }

  readKey(url) {
    const item = this.items.get(url.searchParams.get('key'));
    if (item === undefined) return {status: 404};
    return {status: 200, body: {...item, as_of: this.revision}};
  }

  readRange(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const body = {
      items: found.slice(0, PAGE_SIZE),
      has_more: found.length > PAGE_SIZE,
      as_of: this.revision,
    };
    return {status: 200, body};
  }

  async watch(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endsAt = Date.now() + Number(url.searchParams.get('wait_ms'));
    for (;;) {
      const events = this.events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsAt - Date.now();
      if (events.length > 0 || leftMs <= 0)
        return {status: 200, body: {events, as_of: this.revision}};
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.watchers.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.watchers.add(wake);
      });
    }
  }

  transact({expected_rev = [], set_keys = [], remove = []}) {
    const isMet = expected_rev.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) return {status: 412, body: {items: []}};
    const isLeased = set_keys.every(
      ({lease = 0}) => lease === 0 || this.leases.has(lease),
    );
    if (!isLeased) return {status: 404};
    for (const {key, value, lease = 0} of set_keys)
      this.write(key, value, lease);
    for (const key of remove) this.remove(key);
    return {status: 200, body: {revision: this.revision}};
  }

  grant({ttl_ms: ttlMs}) {
    this.lastLease += 1;
    const lease = this.lastLease;
    this.leases.set(lease, {ttlMs, timer: undefined});
    this.keep(lease);
    return {status: 200, body: {lease, ttl_ms: ttlMs}};
  }

  keep(lease) {
    const known = this.leases.get(lease);
    if (known === undefined) return {status: 404};
    clearTimeout(known.timer);
    known.timer = setTimeout(() => this.endLease(lease), known.ttlMs);
    return {status: 200, body: {lease, ttl_ms: known.ttlMs}};
  }

  endLease(lease) {
    const known = this.leases.get(lease);
    if (known === undefined) return {status: 404};
    clearTimeout(known.timer);
    this.leases.delete(lease);
    for (const [key, item] of [...this.items])
      if (item.lease === lease) this.remove(key);
    return {status: 200};
  }
}
