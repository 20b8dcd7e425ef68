/** Stand-in of the platform's store (PROTOCOL.md, the platform's metadata store). */
import {Buffer} from 'node:buffer';
import {setTimeout} from 'node:timers';
import {startJsonServer} from './server.mjs';

const PAGE_ITEMS = 500;
const PREFIX = '/goldcrestpier/';

/** Keeps items, leases and the history of changes in memory. */
export class Store {
  constructor() {
    this.revision = 1;
    this.items = new Map();
    this.events = [];
    this.leases = new Map();
    this.lastLease = 0;
    this.waiting = new Set();
    this.servers = [];
    /** Names of the callers whose calls get 503. */
    this.refused = new Set();
  }

  /** Opens a listener for one caller; returns `host:port`. */
  async listen(host, caller) {
    const server = await startJsonServer(
      request =>
        this.refused.has(caller) ? {status: 503} : this.handle(request),
      host,
      0,
    );
    this.servers.push(server);
    return `${host}:${server.address().port}`;
  }

  close() {
    for (const {timer} of this.leases.values()) timer?.close();
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a key, as the operator or a runner does. */
  set(key, value, lease = 0) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.setText(key, text, lease);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.addEvent({key, revision: this.revision, deleted: true});
  }

  setText(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {key, value, revision: this.revision, created, lease};
    this.items.set(key, item);
    this.addEvent(item);
  }

  addEvent(event) {
    this.events.push(event);
    for (const wake of [...this.waiting]) wake();
  }

  handle({method, url, body}) {
    const [call, argument] = url.pathname.slice(PREFIX.length).split('/');
    switch (`${method} ${call}`) {
      case 'GET kv-key':
        return this.readKey(url.searchParams.get('key'));
      case 'GET kv-range':
        return this.readRange(url.searchParams);
      case 'GET kv-watch':
        return this.watch(url.searchParams);
      case 'POST kv-txn':
        return this.write(body);
      case 'POST kv-lease':
        return this.grant(body);
      case 'POST kv-keep':
        return this.keep(Number(argument));
      case 'DELETE kv-lease-end':
        return this.endLease(Number(argument));
      default:
        return {status: 404};
    }
  }

  readKey(key) {
    const item = this.items.get(key);
    if (item === undefined) return {status: 404};
    return {status: 200, body: {...item, as_of: this.revision}};
  }

  readRange(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS);
    const hasMore = found.length > items.length;
    const body = {items, has_more: hasMore, as_of: this.revision};
    return {status: 200, body};
  }

  async watch(query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const until = Date.now() + Number(query.get('wait_ms'));
    for (;;) {
      const events = this.events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = until - Date.now();
      if (events.length > 0 || leftMs <= 0)
        return {status: 200, body: {events, as_of: this.revision}};
      await this.waitForChange(leftMs);
    }
  }

  waitForChange(timeoutMs) {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake);
        timer.close();
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiting.add(wake);
    });
  }

  write({expected_rev: expected = [], set_keys: sets = [], remove = []}) {
    const isExpected = ({key, revision}) =>
      (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isExpected)) {
      const items = expected.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, body: {items}};
    }
    const hasLease = ({lease = 0}) => lease === 0 || this.leases.has(lease);
    if (!sets.every(hasLease)) return {status: 404};
    for (const {key, value, lease = 0} of sets) this.setText(key, value, lease);
    for (const key of remove) this.remove(key);
    return {status: 200, body: {revision: this.revision}};
  }

  grant({ttl_ms: ttlMs}) {
    this.lastLease += 1;
    const lease = this.lastLease;
    this.leases.set(lease, {ttlMs, timer: undefined});
    this.renew(lease);
    return {status: 200, body: {lease, ttl_ms: ttlMs}};
  }

  renew(lease) {
    const entry = this.leases.get(lease);
    entry.timer?.close();
    entry.timer = setTimeout(() => this.dropLease(lease), entry.ttlMs);
  }

  keep(lease) {
    if (!this.leases.has(lease)) return {status: 404};
    this.renew(lease);
    return {status: 200, body: {ttl_ms: this.leases.get(lease).ttlMs}};
  }

  endLease(lease) {
    this.dropLease(lease);
    return {status: 200};
  }

  dropLease(lease) {
    this.leases.get(lease)?.timer?.close();
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.remove(item.key);
    }
  }
}
