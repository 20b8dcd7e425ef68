/** The calls of the service, each counted by its kind. */
import type {ServerResponse} from 'node:http';
import type {z} from 'zod';
import {writeHeader, writeNumber, type JsonObject} from './answers.js';
import {
  createInvalidArgument,
  createOutOfRange,
  ServiceError,
} from './fault.js';
import {Leases} from './leases.js';
import {
  compactionSchema,
  deleteRequestSchema,
  leaseGrantSchema,
  leaseSchema,
  putRequestSchema,
  rangeRequestSchema,
  txnRequestSchema,
  watchRequestSchema,
} from './messages.js';
import {Operations} from './operations.js';
import {KeyValueStore} from './store.js';
import {Watches} from './watches.js';

/** The kinds of call, under which they are counted. */
export enum CallKind {
  Range = 'range',
  Put = 'put',
  Delete = 'delete',
  Txn = 'txn',
  Compaction = 'compaction',
  LeaseGrant = 'leaseGrant',
  LeaseKeepAlive = 'leaseKeepAlive',
  LeaseRevoke = 'leaseRevoke',
  Watch = 'watch',
}

/** The path of each call. */
export const callPaths: ReadonlyMap<string, CallKind> = new Map([
  ['/v3/kv/range', CallKind.Range],
  ['/v3/kv/put', CallKind.Put],
  ['/v3/kv/deleterange', CallKind.Delete],
  ['/v3/kv/txn', CallKind.Txn],
  ['/v3/kv/compaction', CallKind.Compaction],
  ['/v3/lease/grant', CallKind.LeaseGrant],
  ['/v3/lease/keepalive', CallKind.LeaseKeepAlive],
  ['/v3/lease/revoke', CallKind.LeaseRevoke],
  ['/v3/kv/lease/revoke', CallKind.LeaseRevoke],
  ['/v3/watch', CallKind.Watch],
]);

/** How often each kind was called. */
export type CallCounts = Record<CallKind, number>;

/** The state of the service: values, leases, watches and counts. */
export class KeyValueService {
  private readonly store = new KeyValueStore();
  readonly leases = new Leases(this.store);
  readonly watches = new Watches(this.store);
  private readonly operations = new Operations(this.store, this.leases);
  readonly counts = Object.fromEntries(
    Object.values(CallKind).map(kind => [kind, 0]),
  ) as CallCounts;

  /** Grows with each write that took effect, leases with them. */
  get changes(): number {
    return this.store.revision + this.leases.changes;
  }

  /** Runs one call that has one answer. Throws a `ServiceError`. */
  call(
    kind: Exclude<CallKind, CallKind.Watch>,
    body: unknown,
    now: number,
  ): JsonObject {
    this.leases.expire(now);
    switch (kind) {
      case CallKind.Range:
        return this.operations.range(read(rangeRequestSchema, body));
      case CallKind.Put:
        return this.operations.put(read(putRequestSchema, body));
      case CallKind.Delete:
        return this.operations.delete(read(deleteRequestSchema, body));
      case CallKind.Txn:
        return this.operations.txn(read(txnRequestSchema, body));
      case CallKind.Compaction:
        return this.compact(read(compactionSchema, body).revision);
      case CallKind.LeaseGrant:
        return this.grantLease(read(leaseGrantSchema, body), now);
      case CallKind.LeaseKeepAlive:
        return this.keepLeaseAlive(read(leaseSchema, body).ID, now);
      case CallKind.LeaseRevoke:
        this.leases.revoke(read(leaseSchema, body).ID);
        return this.header();
    }
  }

  /** Begins a watch. Throws a `ServiceError`. */
  watch(body: unknown, response: ServerResponse, now: number): void {
    this.leases.expire(now);
    const {create_request: request} = read(watchRequestSchema, body);
    this.watches.open(request, response);
  }

  private compact(revision: number): JsonObject {
    if (revision <= this.store.compactedRevision) {
      throw createOutOfRange('required revision has been compacted');
    }
    if (revision > this.store.revision) {
      throw createOutOfRange('required revision is a future revision');
    }
    this.store.compact(revision);
    return this.header();
  }

  private grantLease(
    {TTL, ID}: z.infer<typeof leaseGrantSchema>,
    now: number,
  ): JsonObject {
    if (TTL <= 0) throw createInvalidArgument('lease TTL is not positive');
    const id = this.leases.grant(TTL, ID, now);
    return {...this.header(), ID: String(id), TTL: String(TTL)};
  }

  private keepLeaseAlive(id: number, now: number): JsonObject {
    const seconds = this.leases.keepAlive(id, now);
    return {
      result: {
        ...this.header(),
        ID: String(id),
        ...writeNumber('TTL', seconds),
      },
    };
  }

  private header(): JsonObject {
    return {header: writeHeader(this.store.revision)};
  }
}

function read<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  throw new ServiceError(400, 3, `json: ${parsed.error.issues[0]?.message}`);
}
