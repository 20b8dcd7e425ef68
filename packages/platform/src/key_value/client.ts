import type {Lifecycle, Logger, Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import {PlatformReason, type PlatformFailure} from '../failure.js';
import {
  encodeTransaction,
  isReadOnly,
  matchBranch,
  txnAnswerSchema,
  type Transaction,
  type TxnAnswer,
} from './transaction.js';
import {CallEffect, Transport, type ServiceCall} from './transport.js';
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

/** What a client of the key-value service is made with. */
export interface KeyValueOptions {
  /** `http://host:port` of each endpoint. */
  readonly endpoints: readonly string[];
  /** How long one call may take in all. */
  readonly timeoutMs: Millis;
  readonly logger: Logger;
  /** Closes the connections. */
  readonly lifecycle: Lifecycle;
  /** Told of each call and how it ended, for counting. */
  readonly onCall?: (call: string, failed: PlatformReason | undefined) => void;
}

/** Keys and values at one revision of the service. */
export interface RangeAnswer {
  readonly revision: number;
  readonly values: readonly KeyValue[];
  /** Whether a limit left out some. */
  readonly hasMore: boolean;
}

/** A write's own revision. */
export interface WriteAnswer {
  readonly revision: number;
}

/** A lease and how long it lasts from now. */
export interface LeaseAnswer {
  readonly lease: string;
  readonly ttlSeconds: number;
}

const headerSchema = z.object({revision: int64Schema});
const writeSchema = z.object({header: headerSchema});
const rangeSchema = z.object({
  header: headerSchema,
  kvs: z.array(keyValueSchema).default([]),
  more: z.boolean().default(false),
});
const grantSchema = z.object({ID: leaseIdSchema, TTL: int64Schema});
const keepAliveSchema = z.object({result: grantSchema});

/** Speaks to the key-value service in its published JSON form. */
export class KeyValueClient {
  private readonly transport: Transport;

  constructor(private readonly options: KeyValueOptions) {
    this.transport = new Transport(options);
    options.lifecycle.own('key-value client', () => this.transport.close());
  }

  /** Reads one key or several, in their order; no more than `limit`. */
  range(
    query: KeyQuery,
    limit?: number,
  ): Promise<Result<RangeAnswer, PlatformFailure>> {
    const keys = encodeKeys(query);
    const body = limit === undefined ? keys : {...keys, limit: String(limit)};
    const call = {path: 'kv/range', effect: CallEffect.Read, body};
    return this.call(call, rangeSchema, ({header, kvs, more}) => ({
      revision: header.revision,
      values: kvs,
      hasMore: more,
    }));
  }

  /** Writes one key, under a lease when one is given. */
  put(
    key: string,
    value: string,
    lease?: string,
  ): Promise<Result<WriteAnswer, PlatformFailure>> {
    const fields = {key: encodeText(key), value: encodeText(value)};
    const body = lease === undefined ? fields : {...fields, lease};
    const call = {path: 'kv/put', effect: CallEffect.Write, body};
    return this.call(call, writeSchema, ({header}) => header);
  }

  /** Deletes one key or a prefix. */
  delete(query: KeyQuery): Promise<Result<WriteAnswer, PlatformFailure>> {
    const body = encodeKeys(query);
    const call = {path: 'kv/deleterange', effect: CallEffect.Write, body};
    return this.call(call, writeSchema, ({header}) => header);
  }

  /**
   * Runs one transaction. That a comparison did not hold is an answer, not a
   * failure: `succeeded` is false, and the other branch was carried out.
   */
  txn(transaction: Transaction): Promise<Result<TxnAnswer, PlatformFailure>> {
    const body = encodeTransaction(transaction);
    const effect = isReadOnly(transaction) ? CallEffect.Read : CallEffect.Write;
    const call = {path: 'kv/txn', effect, body};
    return this.call(call, txnAnswerSchema, answer => {
      const matched = matchBranch(transaction, answer);
      return matched && {revision: answer.header.revision, ...matched};
    });
  }

  /** Makes a lease; the keys written under it go when it ends. */
  grantLease(
    ttlSeconds: number,
  ): Promise<Result<LeaseAnswer, PlatformFailure>> {
    const body = {TTL: String(ttlSeconds)};
    const call = {path: 'lease/grant', effect: CallEffect.Write, body};
    return this.call(call, grantSchema, toLease);
  }

  /** Renews a lease; fails with `LeaseGone` when it has ended. */
  async keepLeaseAlive(
    lease: string,
  ): Promise<Result<LeaseAnswer, PlatformFailure>> {
    const body = {ID: lease};
    const call = {path: 'lease/keepalive', effect: CallEffect.Read, body};
    const renewed = await this.call(call, keepAliveSchema, ({result}) =>
      toLease(result),
    );
    if (renewed.isErr() || renewed.value.ttlSeconds > 0) return renewed;
    return Err({
      reason: PlatformReason.LeaseGone,
      call: call.path,
      detail: 'the lease has ended',
      mayHaveTakenEffect: false,
    });
  }

  /** Ends a lease and deletes what was written under it. */
  revokeLease(lease: string): Promise<Result<WriteAnswer, PlatformFailure>> {
    const body = {ID: lease};
    const call = {path: 'lease/revoke', effect: CallEffect.Write, body};
    return this.call(call, writeSchema, ({header}) => header);
  }

  /** Watches until `signal` aborts, over breaks and gaps. Never throws. */
  watch(
    query: WatchQuery,
    signal: AbortSignal,
  ): AsyncGenerator<WatchMessage, void, void> {
    return watchKeys(this.transport, query, this.options.logger, signal);
  }

  private async call<Schema extends z.ZodType, Answer>(
    call: ServiceCall,
    schema: Schema,
    read: (answer: z.infer<Schema>) => Answer | undefined,
  ): Promise<Result<Answer, PlatformFailure>> {
    const posted = await this.transport.post(call);
    const result = posted.andThen(json => {
      const parsed = schema.safeParse(json);
      const answer = parsed.success ? read(parsed.data) : undefined;
      return answer === undefined ? Err(createMalformed(call)) : Ok(answer);
    });
    const reason = result.isErr() ? result.error.reason : undefined;
    this.options.onCall?.(call.path, reason);
    return result;
  }
}

function toLease({ID, TTL}: z.infer<typeof grantSchema>): LeaseAnswer {
  return {lease: ID, ttlSeconds: TTL};
}

function createMalformed(call: ServiceCall): PlatformFailure {
  return {
    reason: PlatformReason.Malformed,
    call: call.path,
    detail: 'answer is not what the protocol says',
    mayHaveTakenEffect: call.effect === CallEffect.Write,
  };
}
