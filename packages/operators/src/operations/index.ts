/** What the operators' listener asks of the instance that it belongs to. */
import type {Failure, JobAnswer} from '@goldcrestpier/protocol';
import type {Result} from 'ts-results-es';
import type {
  DrainAnswer,
  EditAnswer,
  EditRequest,
  EffectiveView,
  FleetInstances,
  FleetJobs,
  FleetServers,
  SettingsDiff,
  SettingsHistory,
  SettingsView,
} from '../messages/index.js';

/** An answer or a failure of the catalogue. */
export type OperationResult<Answer> = Promise<Result<Answer, Failure>>;

/** Reads and edits the settings tree. */
export interface SettingsOperations {
  /** The own values of `node`, or of every node when it is undefined. */
  read(node: string | undefined): OperationResult<SettingsView>;
  readEffective(node: string): OperationResult<EffectiveView>;
  /**
   * Writes an edit whole. `settings_conflict` when the tree has moved past
   * `expectedRevision`; without one, the edit is made on the newest tree.
   */
  edit(request: EditRequest): OperationResult<EditAnswer>;
  /** The newest `limit` edits, newest first. */
  readHistory(limit: number): OperationResult<SettingsHistory>;
  /** `to` is the newest revision when undefined. */
  diff(from: number, to: number | undefined): OperationResult<SettingsDiff>;
}

/** Looks after jobs, instances and backend servers, also through peers. */
export interface FleetOperations {
  listJobs(): OperationResult<FleetJobs>;
  readJob(session: string, key: string): OperationResult<JobAnswer>;
  cancelJob(session: string, key: string): OperationResult<JobAnswer>;
  listInstances(): OperationResult<FleetInstances>;
  listServers(): OperationResult<FleetServers>;
  /** Begins the planned stop of this instance and does not wait for its end. */
  drain(): OperationResult<DrainAnswer>;
}
