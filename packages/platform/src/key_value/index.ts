/** Client of the key-value service, over the JSON API of etcd's v3 gateway. */
export {
  KeyValueClient,
  type KeyValueClientOptions,
  type LeaseResponse,
  type RangeResponse,
  type WriteResponse,
} from './client.js';
export {
  ComparisonKind,
  StepKind,
  type BranchResult,
  type Comparison,
  type Step,
  type StepResult,
  type Transaction,
  type TxnResponse,
} from './transaction.js';
export type {KeyQuery, KeyValue} from './values.js';
export {
  WatchKind,
  type KeyValueEvent,
  type WatchMessage,
  type WatchQuery,
} from './watch.js';
