import {randomInt} from 'node:crypto';
import {createLeaseNotFound} from './fault.js';
import type {KeyValueStore} from './store.js';

const MILLIS_PER_SECOND = 1_000;
const HIGHEST_LEASE = 2 ** 40;

interface Lease {
  readonly ttlSeconds: number;
  expiresAt: number;
}

/** Leases; the keys of one that ends are deleted. */
export class Leases {
  private readonly leases = new Map<number, Lease>();
  /** Grows with each lease that is made or ends. */
  changes = 0;

  constructor(private readonly store: KeyValueStore) {}

  /** Makes a lease and answers its number. */
  grant(ttlSeconds: number, wanted: number, now: number): number {
    const id = wanted === 0 ? randomInt(1, HIGHEST_LEASE) : wanted;
    const expiresAt = now + ttlSeconds * MILLIS_PER_SECOND;
    this.leases.set(id, {ttlSeconds, expiresAt});
    this.changes += 1;
    return id;
  }

  /** Renews a lease and answers its seconds; 0 when it is gone. */
  keepAlive(id: number, now: number): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.ttlSeconds * MILLIS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys. */
  revoke(id: number): void {
    this.check(id);
    this.end([id]);
  }

  /** Throws when a write names a lease that does not exist. */
  check(id: number): void {
    if (id !== 0 && !this.leases.has(id)) throw createLeaseNotFound();
  }

  /** Ends what has expired. */
  expire(now: number): void {
    const expired = [...this.leases]
      .filter(([, lease]) => lease.expiresAt <= now)
      .map(([id]) => id);
    if (expired.length > 0) this.end(expired);
  }

  /** Ends every lease, as after a long pause of the holders. */
  lapseAll(): void {
    this.end([...this.leases.keys()]);
  }

  private end(ids: readonly number[]): void {
    const ended = new Set(ids);
    this.changes += ended.size;
    for (const id of ended) this.leases.delete(id);
    const all = this.store.range({key: '\0', range_end: '\0'});
    for (const {key, lease} of all) {
      if (ended.has(lease)) this.store.delete({key, range_end: ''});
    }
    this.store.commit();
  }
}
