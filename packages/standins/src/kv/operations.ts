/** Reads, writes and transactions of the key-value store. */
import {
  formatHeader,
  formatInt64,
  formatValue,
  type JsonObject,
} from './json_format.js';
import {createInvalidArgument} from './service_error.js';
import type {Leases} from './leases.js';
import {
  CompareResult,
  CompareTarget,
  type Comparison,
  type DeleteRequest,
  type Operation,
  type PutRequest,
  type RangeRequest,
  type TxnRequest,
} from './messages.js';
import type {KeyValueStore, StoredValue} from './store.js';

/** Default of etcd (`--max-txn-ops`). */
const MAX_TXN_OPERATIONS = 128;
const MAX_VALUE_BYTES = 1024 * 1024;

/** Runs requests on one store; each is atomic. */
export class Operations {
  constructor(
    private readonly store: KeyValueStore,
    private readonly leases: Leases,
  ) {}

  /** Reads one key or a range. */
  range(request: RangeRequest): JsonObject {
    const matches = this.store.range(request);
    const limited =
      request.limit > 0 ? matches.slice(0, request.limit) : matches;
    const kvs = limited.map(kv => formatValue(kv, request.keys_only));
    return {
      ...this.createHeader(),
      ...(request.count_only || kvs.length === 0 ? {} : {kvs}),
      ...(limited.length < matches.length ? {more: true} : {}),
      ...formatInt64('count', matches.length),
    };
  }

  /** Writes one key. */
  put(request: PutRequest): JsonObject {
    this.checkPut(request);
    const previous = this.store.put(request);
    this.store.commit();
    return this.createPutResponse(request, previous);
  }

  /** Deletes one key or a range. */
  delete(request: DeleteRequest): JsonObject {
    const deleted = this.store.delete(request);
    this.store.commit();
    return this.createDeleteResponse(request, deleted);
  }

  /** Runs one branch of a transaction as a single revision. */
  txn(request: TxnRequest): JsonObject {
    this.checkTxn(request, MAX_TXN_OPERATIONS, new Set());
    const response = this.runTxn(request);
    this.store.commit();
    return {...this.createHeader(), ...response};
  }

  private runTxn(request: TxnRequest): JsonObject {
    const succeeded = request.compare.every(comparison =>
      this.compare(comparison),
    );
    const branch = succeeded ? request.success : request.failure;
    const responses = branch.map(operation => this.runOperation(operation));
    return {
      ...(succeeded ? {succeeded} : {}),
      ...(responses.length === 0 ? {} : {responses}),
    };
  }

  private runOperation(operation: Operation): JsonObject {
    if (operation.request_range !== undefined) {
      return {response_range: this.range(operation.request_range)};
    }
    if (operation.request_put !== undefined) {
      const previous = this.store.put(operation.request_put);
      return {
        response_put: this.createPutResponse(operation.request_put, previous),
      };
    }
    if (operation.request_delete_range !== undefined) {
      const deleted = this.store.delete(operation.request_delete_range);
      return {
        response_delete_range: this.createDeleteResponse(
          operation.request_delete_range,
          deleted,
        ),
      };
    }
    if (operation.request_txn !== undefined) {
      return {response_txn: this.runTxn(operation.request_txn)};
    }
    throw createInvalidArgument('key is not provided');
  }

  private compare(comparison: Comparison): boolean {
    const kv = this.store.get(comparison.key);
    switch (comparison.target) {
      case CompareTarget.Version:
        return isSatisfied(comparison, kv?.version ?? 0, comparison.version);
      case CompareTarget.Create:
        return isSatisfied(
          comparison,
          kv?.createRevision ?? 0,
          comparison.create_revision,
        );
      case CompareTarget.Mod:
        return isSatisfied(
          comparison,
          kv?.modRevision ?? 0,
          comparison.mod_revision,
        );
      case CompareTarget.Value:
        // A missing key has no value, so that the comparison is false.
        if (kv === undefined) return false;
        return isSatisfied(comparison, kv.value, comparison.value);
    }
  }

  private checkTxn(
    request: TxnRequest,
    maxOperations: number,
    written: Set<string>,
  ): void {
    const operationCount = Math.max(
      request.compare.length,
      request.success.length,
      request.failure.length,
    );
    if (operationCount > maxOperations) {
      throw createInvalidArgument('too many operations in txn request');
    }
    const remaining = maxOperations - operationCount;
    const success = this.checkOperations(request.success, remaining, written);
    const failure = this.checkOperations(request.failure, remaining, written);
    for (const key of [...success, ...failure]) written.add(key);
  }

  /** Returns the written keys. Throws if a key is written more than once. */
  private checkOperations(
    operations: readonly Operation[],
    maxOperations: number,
    alreadyWritten: ReadonlySet<string>,
  ): Set<string> {
    const written = new Set(alreadyWritten);
    for (const {request_put: put, request_txn: txn} of operations) {
      if (txn !== undefined) this.checkTxn(txn, maxOperations, written);
      if (put === undefined) continue;
      this.checkPut(put);
      if (written.has(put.key)) {
        throw createInvalidArgument('duplicate key given in txn request');
      }
      written.add(put.key);
    }
    return written;
  }

  private checkPut(request: PutRequest): void {
    if (request.key === '') {
      throw createInvalidArgument('key is not provided');
    }
    if (request.value.length > MAX_VALUE_BYTES) {
      throw createInvalidArgument('request is too large');
    }
    this.leases.requireLease(request.lease);
  }

  private createPutResponse(
    request: PutRequest,
    previous: StoredValue | undefined,
  ): JsonObject {
    if (!request.prev_kv || previous === undefined) return this.createHeader();
    return {...this.createHeader(), prev_kv: formatValue(previous)};
  }

  private createDeleteResponse(
    request: DeleteRequest,
    deleted: readonly StoredValue[],
  ): JsonObject {
    return {
      ...this.createHeader(),
      ...formatInt64('deleted', deleted.length),
      ...(request.prev_kv
        ? {prev_kvs: deleted.map(kv => formatValue(kv))}
        : {}),
    };
  }

  private createHeader(): JsonObject {
    return {header: formatHeader(this.store.revision)};
  }
}

function isSatisfied<Value extends number | string>(
  {result}: Comparison,
  actual: Value,
  expected: Value,
): boolean {
  switch (result) {
    case CompareResult.Equal:
      return actual === expected;
    case CompareResult.NotEqual:
      return actual !== expected;
    case CompareResult.Greater:
      return actual > expected;
    case CompareResult.Less:
      return actual < expected;
  }
}
