/** Transactions: comparisons, then all steps of one branch or of the other. */
import {z} from 'zod';
import {
  encodeKeys,
  encodeText,
  int64Schema,
  keyValueSchema,
  type KeyQuery,
  type KeyValue,
} from './values.js';

/** What a comparison looks at. */
export enum CompareKind {
  /** The revision at which the key was created; 0 while it does not exist. */
  CreateRevision = 'create_revision',
  /** The revision of the key's last change; 0 while it does not exist. */
  ModRevision = 'mod_revision',
  /** The key's value. */
  Value = 'value',
}

/** Holds when what it looks at equals what is given. */
export type Comparison =
  | {
      readonly kind: CompareKind.CreateRevision | CompareKind.ModRevision;
      readonly key: string;
      readonly equals: number;
    }
  | {
      readonly kind: CompareKind.Value;
      readonly key: string;
      readonly equals: string;
    };

/** The kinds of step. */
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

/** Comparisons, and the steps for when all hold or for when one does not. */
export interface Transaction {
  readonly compare: readonly Comparison[];
  readonly success: readonly Step[];
  readonly failure: readonly Step[];
}

/** The answer to one step. */
export type StepAnswer =
  | {readonly kind: StepKind.Get; readonly values: readonly KeyValue[]}
  | {readonly kind: StepKind.Put}
  | {readonly kind: StepKind.Delete}
  | ({readonly kind: StepKind.Txn} & BranchAnswer);

/** Which branch was taken, and the answers to its steps in their order. */
export interface BranchAnswer {
  readonly succeeded: boolean;
  readonly answers: readonly StepAnswer[];
}

/** An answer with the revision at which it was given. */
export interface TxnAnswer extends BranchAnswer {
  readonly revision: number;
}

const branchSchema = z.object({
  succeeded: z.boolean().default(false),
  get responses() {
    return z.array(responseSchema).default([]);
  },
});

const responseSchema = z.object({
  response_range: z
    .object({kvs: z.array(keyValueSchema).default([])})
    .optional(),
  response_put: z.object({}).optional(),
  response_delete_range: z.object({}).optional(),
  get response_txn() {
    return branchSchema.optional();
  },
});

/** The service's answer to a transaction. */
export const txnAnswerSchema = branchSchema.extend({
  header: z.object({revision: int64Schema}),
});

type Branch = z.infer<typeof branchSchema>;
type Response = z.infer<typeof responseSchema>;

/** Whether neither branch writes anything. */
export function isReadOnly({success, failure}: Transaction): boolean {
  return [...success, ...failure].every(
    step =>
      step.kind === StepKind.Get ||
      (step.kind === StepKind.Txn && isReadOnly(step)),
  );
}

/** Writes a transaction in the gateway's JSON form. */
export function encodeTransaction(transaction: Transaction): object {
  return {
    compare: transaction.compare.map(encodeComparison),
    success: transaction.success.map(encodeStep),
    failure: transaction.failure.map(encodeStep),
  };
}

/** Matches an answer with its transaction; undefined when they do not fit. */
export function matchBranch(
  transaction: Transaction,
  branch: Branch,
): BranchAnswer | undefined {
  const {succeeded, responses} = branch;
  const steps = succeeded ? transaction.success : transaction.failure;
  if (steps.length !== responses.length) return undefined;
  const answers: StepAnswer[] = [];
  for (const [index, step] of steps.entries()) {
    const answer = matchStep(step, responses[index]);
    if (answer === undefined) return undefined;
    answers.push(answer);
  }
  return {succeeded, answers};
}

function matchStep(
  step: Step,
  response: Response | undefined,
): StepAnswer | undefined {
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
      const matched = branch && matchBranch(step, branch);
      return matched && {kind: StepKind.Txn, ...matched};
    }
  }
}

function encodeComparison(comparison: Comparison): object {
  const key = encodeText(comparison.key);
  switch (comparison.kind) {
    case CompareKind.CreateRevision:
      return {
        key,
        target: 'CREATE',
        result: 'EQUAL',
        create_revision: String(comparison.equals),
      };
    case CompareKind.ModRevision:
      return {
        key,
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(comparison.equals),
      };
    case CompareKind.Value:
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
  const put = {key: encodeText(step.key), value: encodeText(step.value)};
  return step.lease === undefined ? put : {...put, lease: step.lease};
}
