/**
 * Transactions: if all comparisons hold, the steps of the success branch run,
 * otherwise those of the failure branch.
 */
import {z} from 'zod';
import {
  encodeKeys,
  encodeText,
  int64Schema,
  keyValueSchema,
  type KeyQuery,
  type KeyValue,
} from './values.js';

/** What a comparison reads. */
export enum ComparisonKind {
  /** The revision at which the key was created; 0 while it does not exist. */
  CreateRevision = 'create_revision',
  /** The revision of the key's last change; 0 while it does not exist. */
  ModRevision = 'mod_revision',
  Value = 'value',
}

/** A comparison, which holds if what it reads is equal to `equals`. */
export type Comparison =
  | {
      readonly kind: ComparisonKind.CreateRevision | ComparisonKind.ModRevision;
      readonly key: string;
      readonly equals: number;
    }
  | {
      readonly kind: ComparisonKind.Value;
      readonly key: string;
      readonly equals: string;
    };

/** What a step does. */
export enum StepKind {
  Get = 'get',
  Put = 'put',
  Delete = 'delete',
  Txn = 'txn',
}

/** One step of a transaction. */
export type Step =
  | ({readonly kind: StepKind.Get} & KeyQuery)
  | {
      readonly kind: StepKind.Put;
      readonly key: string;
      readonly value: string;
      readonly lease?: string;
    }
  | ({readonly kind: StepKind.Delete} & KeyQuery)
  | ({readonly kind: StepKind.Txn} & Transaction);

/** Comparisons, a branch for when all hold and one for when any does not. */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly success: readonly Step[];
  readonly failure: readonly Step[];
}

/** The result of one step. */
export type StepResult =
  | {readonly kind: StepKind.Get; readonly values: readonly KeyValue[]}
  | {readonly kind: StepKind.Put}
  | {readonly kind: StepKind.Delete}
  | ({readonly kind: StepKind.Txn} & BranchResult);

/** Which branch ran, and the results of its steps in order. */
export interface BranchResult {
  readonly succeeded: boolean;
  readonly results: readonly StepResult[];
}

/** The result of a transaction, with the revision of the service after it. */
export interface TxnResponse extends BranchResult {
  readonly revision: number;
}

const branchResponseSchema = z.object({
  succeeded: z.boolean().default(false),
  get responses() {
    return z.array(stepResponseSchema).default([]);
  },
});

const stepResponseSchema = z.object({
  response_range: z
    .object({kvs: z.array(keyValueSchema).default([])})
    .optional(),
  response_put: z.object({}).optional(),
  response_delete_range: z.object({}).optional(),
  get response_txn() {
    return branchResponseSchema.optional();
  },
});

/** Schema of the service's response to a transaction. */
export const txnResponseSchema = branchResponseSchema.extend({
  header: z.object({revision: int64Schema}),
});

type BranchResponse = z.infer<typeof branchResponseSchema>;
type StepResponse = z.infer<typeof stepResponseSchema>;

/** Whether neither branch contains a write. */
export function isReadOnly({success, failure}: Transaction): boolean {
  return [...success, ...failure].every(
    step =>
      step.kind === StepKind.Get ||
      (step.kind === StepKind.Txn && isReadOnly(step)),
  );
}

/** Encodes a transaction as JSON for the gateway. */
export function encodeTransaction(transaction: Transaction): object {
  return {
    compare: transaction.compare.map(encodeComparison),
    success: transaction.success.map(encodeStep),
    failure: transaction.failure.map(encodeStep),
  };
}

/** Matches a response with the transaction's steps; undefined on a mismatch. */
export function matchBranchResults(
  transaction: Transaction,
  branch: BranchResponse,
): BranchResult | undefined {
  const {succeeded, responses} = branch;
  const steps = succeeded ? transaction.success : transaction.failure;
  if (steps.length !== responses.length) return undefined;
  const results: StepResult[] = [];
  for (const [index, step] of steps.entries()) {
    const result = matchStepResult(step, responses[index]);
    if (result === undefined) return undefined;
    results.push(result);
  }
  return {succeeded, results: results};
}

function matchStepResult(
  step: Step,
  response: StepResponse | undefined,
): StepResult | undefined {
  switch (step.kind) {
    case StepKind.Get: {
      const values = response?.response_range?.kvs;
      return values && {kind: StepKind.Get, values};
    }
    case StepKind.Put:
      return response?.response_put && {kind: StepKind.Put};
    case StepKind.Delete:
      return response?.response_delete_range && {kind: StepKind.Delete};
    case StepKind.Txn: {
      const branch = response?.response_txn;
      const matched = branch && matchBranchResults(step, branch);
      return matched && {kind: StepKind.Txn, ...matched};
    }
  }
}

function encodeComparison(comparison: Comparison): object {
  const key = encodeText(comparison.key);
  switch (comparison.kind) {
    case ComparisonKind.CreateRevision:
      return {
        key,
        target: 'CREATE',
        result: 'EQUAL',
        create_revision: String(comparison.equals),
      };
    case ComparisonKind.ModRevision:
      return {
        key,
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(comparison.equals),
      };
    case ComparisonKind.Value:
      return {
        key,
        target: 'VALUE',
        result: 'EQUAL',
        value: encodeText(comparison.equals),
      };
  }
}

function encodeStep(step: Step): object {
  switch (step.kind) {
    case StepKind.Get:
      return {request_range: encodeKeys(step)};
    case StepKind.Put:
      return {request_put: encodePut(step)};
    case StepKind.Delete:
      return {request_delete_range: encodeKeys(step)};
    case StepKind.Txn:
      return {request_txn: encodeTransaction(step)};
  }
}

function encodePut(step: Step & {readonly kind: StepKind.Put}): object {
  const fields = {key: encodeText(step.key), value: encodeText(step.value)};
  return step.lease === undefined ? fields : {...fields, lease: step.lease};
}
