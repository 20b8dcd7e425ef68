/** Operations that an instance provides to its operators' listener. */
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

/** Resolves to the answer, or to a failure of the catalogue. */
export type OperationResult<Answer> = Promise<Result<Answer, Failure>>;

/** Reads and edits the settings tree. */
export interface SettingsOperations {
  /** Values set at `node` itself, or at every node when it is undefined. */
  read(node: string | undefined): OperationResult<SettingsView>;
  readEffective(node: string): OperationResult<EffectiveView>;
  /**
   * Applies an edit atomically. Fails with `settings_conflict` when the tree
   * is newer than `expectedRevision`; without that field, the edit is applied
   * to the newest tree.
   */
  edit(request: EditRequest): OperationResult<EditAnswer>;
  /** Returns the newest `limit` edits, newest first. */
  readHistory(limit: number): OperationResult<SettingsHistory>;
  /** Compares two revisions; `to` defaults to the newest. */
  diff(from: number, to: number | undefined): OperationResult<SettingsDiff>;
}

/** Manages jobs, instances and backend servers, also those of peers. */
export interface FleetOperations {
  listJobs(): OperationResult<FleetJobs>;
  readJob(session: string, key: string): OperationResult<JobAnswer>;
  cancelJob(session: string, key: string): OperationResult<JobAnswer>;
  listInstances(): OperationResult<FleetInstances>;
  listServers(): OperationResult<FleetServers>;
  /** Starts the planned stop of this instance without waiting for its end. */
  drain(): OperationResult<DrainAnswer>;
}
