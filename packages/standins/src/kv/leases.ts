import {randomInt} from 'node:crypto';
import {createLeaseNotFound} from './service_error.js';
import type {KeyValueStore} from './store.js';

const MS_PER_SECOND = 1_000;
const MAX_LEASE_ID = 2 ** 40;

interface Lease {
  readonly ttlSeconds: number;
  expiresAt: number;
}

/** All leases; when a lease ends, its keys are deleted. */
export class Leases {
  private readonly leases = new Map<number, Lease>();
  /** Incremented for each lease that is granted or ends. */
  changeCount = 0;

  constructor(private readonly store: KeyValueStore) {}

  /** Grants a lease and returns its id; a random id if `requestedId` is 0. */
  grant(ttlSeconds: number, requestedId: number, now: number): number {
    const id = requestedId === 0 ? randomInt(1, MAX_LEASE_ID) : requestedId;
    const expiresAt = now + ttlSeconds * MS_PER_SECOND;
    this.leases.set(id, {ttlSeconds, expiresAt});
    this.changeCount += 1;
    return id;
  }

  /** Renews a lease and returns its TTL in seconds; 0 if it doesn't exist. */
  keepAlive(id: number, now: number): number {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.ttlSeconds * MS_PER_SECOND;
    return lease.ttlSeconds;
  }

  /** Ends a lease and deletes its keys. Throws if it doesn't exist. */
  revoke(id: number): void {
    this.requireLease(id);
    this.remove([id]);
  }

  /** Throws if the lease doesn't exist; id 0 stands for no lease. */
  requireLease(id: number): void {
    if (id !== 0 && !this.leases.has(id)) throw createLeaseNotFound();
  }

  /** Ends the leases that have expired at `now`. */
  expireDue(now: number): void {
    const expired = [...this.leases]
      .filter(([, lease]) => lease.expiresAt <= now)
      .map(([id]) => id);
    if (expired.length > 0) this.remove(expired);
  }

  /** Ends every lease, as if its holder had been paused for too long. */
  expireAll(): void {
    this.remove([...this.leases.keys()]);
  }

  private remove(ids: readonly number[]): void {
    const removed = new Set(ids);
    this.changeCount += removed.size;
    for (const id of removed) this.leases.delete(id);
    const all = this.store.range({key: '\0', range_end: '\0'});
    for (const {key, lease} of all) {
      if (removed.has(lease)) this.store.delete({key, range_end: ''});
    }
    this.store.commit();
  }
}
