/** The platform's key-value service, in the JSON form of etcd's v3 gateway. */
export {
  KeyValueClient,
  type KeyValueOptions,
  type LeaseAnswer,
  type RangeAnswer,
  type WriteAnswer,
} from './client.js';
export {
  CompareKind,
  StepKind,
  type BranchAnswer,
  type Comparison,
  type Step,
  type StepAnswer,
  type Transaction,
  type TxnAnswer,
} from './transaction.js';
export type {KeyQuery, KeyValue} from './values.js';
export {
  WatchKind,
  type KeyValueEvent,
  type WatchMessage,
  type WatchQuery,
} from './watch.js';
