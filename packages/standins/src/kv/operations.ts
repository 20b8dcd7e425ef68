/** Reads, writes and transactions on the store. */
import {
  writeHeader,
  writeNumber,
  writeValue,
  type JsonObject,
} from './answers.js';
import {createInvalidArgument} from './fault.js';
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

/** As the published service's default. */
const MOST_OPERATIONS = 128;
const LARGEST_VALUE_BYTES = 1024 * 1024;

/** Runs requests against one store; each is one atomic change. */
export class Operations {
  constructor(
    private readonly store: KeyValueStore,
    private readonly leases: Leases,
  ) {}

  /** Reads one key or a range. */
  range(request: RangeRequest): JsonObject {
    const found = this.store.range(request);
    const limited = request.limit > 0 ? found.slice(0, request.limit) : found;
    const kvs = limited.map(kv => writeValue(kv, request.keys_only));
    return {
      ...this.header(),
      ...(request.count_only || kvs.length === 0 ? {} : {kvs}),
      ...(limited.length < found.length ? {more: true} : {}),
      ...writeNumber('count', found.length),
    };
  }

  /** Writes one key. */
  put(request: PutRequest): JsonObject {
    this.checkPut(request);
    const previous = this.store.put(request);
    this.store.commit();
    return this.answerPut(request, previous);
  }

  /** Deletes one key or a range. */
  delete(request: DeleteRequest): JsonObject {
    const gone = this.store.delete(request);
    this.store.commit();
    return this.answerDelete(request, gone);
  }

  /** Runs a transaction: all of one branch, as one revision. */
  txn(request: TxnRequest): JsonObject {
    this.checkTxn(request, MOST_OPERATIONS, new Set());
    const answer = this.runTxn(request);
    this.store.commit();
    return {...this.header(), ...answer};
  }

  private runTxn(request: TxnRequest): JsonObject {
    const succeeded = request.compare.every(each => this.compare(each));
    const chosen = succeeded ? request.success : request.failure;
    const responses = chosen.map(operation => this.runStep(operation));
    return {
      ...(succeeded ? {succeeded} : {}),
      ...(responses.length === 0 ? {} : {responses}),
    };
  }

  private runStep(step: Operation): JsonObject {
    if (step.request_range !== undefined) {
      return {response_range: this.range(step.request_range)};
    }
    if (step.request_put !== undefined) {
      const previous = this.store.put(step.request_put);
      return {response_put: this.answerPut(step.request_put, previous)};
    }
    if (step.request_delete_range !== undefined) {
      const gone = this.store.delete(step.request_delete_range);
      return {
        response_delete_range: this.answerDelete(
          step.request_delete_range,
          gone,
        ),
      };
    }
    if (step.request_txn !== undefined) {
      return {response_txn: this.runTxn(step.request_txn)};
    }
    throw createInvalidArgument('key is not provided');
  }

  private compare(comparison: Comparison): boolean {
    const kv = this.store.get(comparison.key);
    switch (comparison.target) {
      case CompareTarget.Version:
        return holds(comparison, kv?.version ?? 0, comparison.version);
      case CompareTarget.Create:
        return holds(
          comparison,
          kv?.createRevision ?? 0,
          comparison.create_revision,
        );
      case CompareTarget.Mod:
        return holds(comparison, kv?.modRevision ?? 0, comparison.mod_revision);
      case CompareTarget.Value:
        // A key that does not exist has no value to compare.
        if (kv === undefined) return false;
        return holds(comparison, kv.value, comparison.value);
    }
  }

  private checkTxn(
    request: TxnRequest,
    allowed: number,
    written: Set<string>,
  ): void {
    const operations = Math.max(
      request.compare.length,
      request.success.length,
      request.failure.length,
    );
    if (operations > allowed) {
      throw createInvalidArgument('too many operations in txn request');
    }
    const left = allowed - operations;
    const success = this.checkSteps(request.success, left, written);
    const failure = this.checkSteps(request.failure, left, written);
    for (const key of [...success, ...failure]) written.add(key);
  }

  /** Answers the keys written, which one change may write only once. */
  private checkSteps(
    steps: readonly Operation[],
    allowed: number,
    before: ReadonlySet<string>,
  ): Set<string> {
    const written = new Set(before);
    for (const {request_put: put, request_txn: txn} of steps) {
      if (txn !== undefined) this.checkTxn(txn, allowed, written);
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
    if (request.value.length > LARGEST_VALUE_BYTES) {
      throw createInvalidArgument('request is too large');
    }
    this.leases.check(request.lease);
  }

  private answerPut(
    request: PutRequest,
    previous: StoredValue | undefined,
  ): JsonObject {
    if (!request.prev_kv || previous === undefined) return this.header();
    return {...this.header(), prev_kv: writeValue(previous)};
  }

  private answerDelete(
    request: DeleteRequest,
    gone: readonly StoredValue[],
  ): JsonObject {
    return {
      ...this.header(),
      ...writeNumber('deleted', gone.length),
      ...(request.prev_kv ? {prev_kvs: gone.map(kv => writeValue(kv))} : {}),
    };
  }

  private header(): JsonObject {
    return {header: writeHeader(this.store.revision)};
  }
}

function holds<Value extends number | string>(
  {result}: Comparison,
  found: Value,
  wanted: Value,
): boolean {
  switch (result) {
    case CompareResult.Equal:
      return found === wanted;
    case CompareResult.NotEqual:
      return found !== wanted;
    case CompareResult.Greater:
      return found > wanted;
    case CompareResult.Less:
      return found < wanted;
  }
}
