import type {Lifecycle, Logger, Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import {
  encodeTransaction,
  isReadOnly,
  matchBranchResults,
  txnResponseSchema,
  type Transaction,
  type TxnResponse,
} from './transaction.js';
import {CallEffect, type ServiceCall} from './service_call.js';
import {Transport} from './transport.js';
import {
  encodeKeys,
  encodeText,
  int64Schema,
  keyValueSchema,
  leaseIdSchema,
  type KeyQuery,
  type KeyValue,
} from './values.js';
import {watchKeys, type WatchMessage, type WatchQuery} from './watch.js';

/** Options of a `KeyValueClient`. */
export interface KeyValueClientOptions {
  /** `http://host:port` of each endpoint. */
  readonly endpoints: readonly string[];
  /** Maximum duration of one call, over all endpoints. */
  readonly timeoutMs: Millis;
  readonly logger: Logger;
  /** Closes the connections when it closes. */
  readonly lifecycle: Lifecycle;
  /** Called after each call except a watch, for metrics. */
  readonly onCall?: (
    call: string,
    failed: PlatformFailureReason | undefined,
  ) => void;
}

/** Keys and values, read at one revision of the service. */
export interface RangeResponse {
  readonly revision: number;
  readonly values: readonly KeyValue[];
  /** Whether the limit left out some values. */
  readonly hasMore: boolean;
}

/** The revision created by a write. */
export interface WriteResponse {
  readonly revision: number;
}

/** A lease and its remaining time to live. */
export interface LeaseResponse {
  readonly lease: string;
  readonly ttlSeconds: number;
}

const responseHeaderSchema = z.object({revision: int64Schema});
const writeResponseSchema = z.object({header: responseHeaderSchema});
const rangeResponseSchema = z.object({
  header: responseHeaderSchema,
  kvs: z.array(keyValueSchema).default([]),
  more: z.boolean().default(false),
});
const leaseGrantResponseSchema = z.object({
  ID: leaseIdSchema,
  TTL: int64Schema,
});
const keepAliveResponseSchema = z.object({result: leaseGrantResponseSchema});

/** Calls the key-value service through the JSON API of its gateway. */
export class KeyValueClient {
  private readonly transport: Transport;

  constructor(private readonly options: KeyValueClientOptions) {
    this.transport = new Transport(options);
    options.lifecycle.own('key-value client', () => this.transport.close());
  }

  /** Reads one or more keys in ascending order, `limit` at most. */
  range(
    query: KeyQuery,
    limit?: number,
  ): Promise<Result<RangeResponse, PlatformFailure>> {
    const keys = encodeKeys(query);
    const body = limit === undefined ? keys : {...keys, limit: String(limit)};
    const call = {path: 'kv/range', effect: CallEffect.Read, body};
    return this.call(call, rangeResponseSchema, ({header, kvs, more}) => ({
      revision: header.revision,
      values: kvs,
      hasMore: more,
    }));
  }

  /** Writes one key, attached to `lease` if there is one. */
  put(
    key: string,
    value: string,
    lease?: string,
  ): Promise<Result<WriteResponse, PlatformFailure>> {
    const fields = {key: encodeText(key), value: encodeText(value)};
    const body = lease === undefined ? fields : {...fields, lease};
    const call = {path: 'kv/put', effect: CallEffect.Write, body};
    return this.call(call, writeResponseSchema, ({header}) => header);
  }

  /** Deletes one or more keys. */
  delete(query: KeyQuery): Promise<Result<WriteResponse, PlatformFailure>> {
    const body = encodeKeys(query);
    const call = {path: 'kv/deleterange', effect: CallEffect.Write, body};
    return this.call(call, writeResponseSchema, ({header}) => header);
  }

  /**
   * Runs one transaction. A comparison that does not hold is no error: the
   * response has `succeeded` false and the results of the failure branch.
   */
  txn(transaction: Transaction): Promise<Result<TxnResponse, PlatformFailure>> {
    const body = encodeTransaction(transaction);
    const effect = isReadOnly(transaction) ? CallEffect.Read : CallEffect.Write;
    const call = {path: 'kv/txn', effect, body};
    return this.call(call, txnResponseSchema, response => {
      const matched = matchBranchResults(transaction, response);
      return matched && {revision: response.header.revision, ...matched};
    });
  }

  /** Grants a lease; the keys attached to it are deleted when it ends. */
  grantLease(
    ttlSeconds: number,
  ): Promise<Result<LeaseResponse, PlatformFailure>> {
    const body = {TTL: String(ttlSeconds)};
    const call = {path: 'lease/grant', effect: CallEffect.Write, body};
    return this.call(call, leaseGrantResponseSchema, toLeaseResponse);
  }

  /** Renews a lease; fails with `LeaseGone` if it expired or was revoked. */
  async keepLeaseAlive(
    lease: string,
  ): Promise<Result<LeaseResponse, PlatformFailure>> {
    const body = {ID: lease};
    const call = {path: 'lease/keepalive', effect: CallEffect.Read, body};
    const renewal = await this.call(call, keepAliveResponseSchema, ({result}) =>
      toLeaseResponse(result),
    );
    if (renewal.isErr() || renewal.value.ttlSeconds > 0) return renewal;
    return Err({
      reason: PlatformFailureReason.LeaseGone,
      call: call.path,
      detail: 'the lease has ended',
      mayHaveTakenEffect: false,
    });
  }

  /** Revokes a lease, which deletes the keys attached to it. */
  revokeLease(lease: string): Promise<Result<WriteResponse, PlatformFailure>> {
    const body = {ID: lease};
    const call = {path: 'lease/revoke', effect: CallEffect.Write, body};
    return this.call(call, writeResponseSchema, ({header}) => header);
  }

  /** Watches until `signal` aborts, also after disconnects. Never throws. */
  watch(
    query: WatchQuery,
    signal: AbortSignal,
  ): AsyncGenerator<WatchMessage, void, void> {
    return watchKeys(this.transport, query, this.options.logger, signal);
  }

  private async call<Schema extends z.ZodType, Value>(
    call: ServiceCall,
    schema: Schema,
    decode: (response: z.infer<Schema>) => Value | undefined,
  ): Promise<Result<Value, PlatformFailure>> {
    const posted = await this.transport.post(call);
    const result = posted.andThen(responseBody => {
      const parsed = schema.safeParse(responseBody);
      const value = parsed.success ? decode(parsed.data) : undefined;
      return value === undefined
        ? Err(createMalformedFailure(call))
        : Ok(value);
    });
    const reason = result.isErr() ? result.error.reason : undefined;
    this.options.onCall?.(call.path, reason);
    return result;
  }
}

function toLeaseResponse({
  ID,
  TTL,
}: z.infer<typeof leaseGrantResponseSchema>): LeaseResponse {
  return {lease: ID, ttlSeconds: TTL};
}

function createMalformedFailure(call: ServiceCall): PlatformFailure {
  return {
    reason: PlatformFailureReason.Malformed,
    call: call.path,
    detail: 'answer is not what the protocol says',
    mayHaveTakenEffect: call.effect === CallEffect.Write,
  };
}
