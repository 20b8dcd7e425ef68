/** Calls of the key-value service, counted by kind. */
import type {ServerResponse} from 'node:http';
import type {z} from 'zod';
import {formatHeader, formatInt64, type JsonObject} from './json_format.js';
import {
  createInvalidArgument,
  createOutOfRange,
  ServiceError,
} from './service_error.js';
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

/** Kinds of calls; the values are the names of the counters. */
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

/** Calls by URL path. */
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

/** Number of calls by kind. */
export type CallCounts = Record<CallKind, number>;

/** State of the service: values, leases, watches and call counts. */
export class KeyValueService {
  private readonly store = new KeyValueStore();
  readonly leases = new Leases(this.store);
  readonly watches = new Watches(this.store);
  private readonly operations = new Operations(this.store, this.leases);
  readonly counts = Object.fromEntries(
    Object.values(CallKind).map(kind => [kind, 0]),
  ) as CallCounts;

  /** Increases with each write that took effect, including leases. */
  get changeCount(): number {
    return this.store.revision + this.leases.changeCount;
  }

  /** Runs a call that has a single response. Throws a `ServiceError`. */
  call(
    kind: Exclude<CallKind, CallKind.Watch>,
    body: unknown,
    now: number,
  ): JsonObject {
    this.leases.expireDue(now);
    switch (kind) {
      case CallKind.Range:
        return this.operations.range(parseRequest(rangeRequestSchema, body));
      case CallKind.Put:
        return this.operations.put(parseRequest(putRequestSchema, body));
      case CallKind.Delete:
        return this.operations.delete(parseRequest(deleteRequestSchema, body));
      case CallKind.Txn:
        return this.operations.txn(parseRequest(txnRequestSchema, body));
      case CallKind.Compaction:
        return this.compact(parseRequest(compactionSchema, body).revision);
      case CallKind.LeaseGrant:
        return this.grantLease(parseRequest(leaseGrantSchema, body), now);
      case CallKind.LeaseKeepAlive:
        return this.keepLeaseAlive(parseRequest(leaseSchema, body).ID, now);
      case CallKind.LeaseRevoke:
        this.leases.revoke(parseRequest(leaseSchema, body).ID);
        return this.createHeader();
    }
  }

  /** Starts a watch. Throws a `ServiceError`. */
  watch(body: unknown, response: ServerResponse, now: number): void {
    this.leases.expireDue(now);
    const {create_request: request} = parseRequest(watchRequestSchema, body);
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
    return this.createHeader();
  }

  private grantLease(
    {TTL, ID}: z.infer<typeof leaseGrantSchema>,
    now: number,
  ): JsonObject {
    if (TTL <= 0) throw createInvalidArgument('lease TTL is not positive');
    const id = this.leases.grant(TTL, ID, now);
    return {...this.createHeader(), ID: String(id), TTL: String(TTL)};
  }

  private keepLeaseAlive(id: number, now: number): JsonObject {
    const ttlSeconds = this.leases.keepAlive(id, now);
    return {
      result: {
        ...this.createHeader(),
        ID: String(id),
        ...formatInt64('TTL', ttlSeconds),
      },
    };
  }

  private createHeader(): JsonObject {
    return {header: formatHeader(this.store.revision)};
  }
}

function parseRequest<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const parsed = schema.safeParse(body);
  if (parsed.success) return parsed.data;
  throw new ServiceError(400, 3, `json: ${parsed.error.issues[0]?.message}`);
}
