/** Options of a holder. */
import type {DispatcherOptions, TaskHistory} from '@goldcrestpier/dispatch';
import type {Lifecycle, Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {WorkerPort} from '../ports/index.js';
import type {FindZoneClient} from './delegation_discovery.js';
import type {EvacuationSource} from './evacuation_state.js';

/** Dependencies and settings of a holder. */
export interface HolderOptions {
  readonly zone: string;
  /** Finds the client of another zone's holder. */
  readonly findZoneClient: FindZoneClient;
  readonly token: number;
  readonly dispatchOptions: DispatcherOptions;
  /** What the instance knows of tasks. */
  readonly history: TaskHistory;
  readonly evacuation: EvacuationSource;
  readonly workerPort: WorkerPort;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
  /** Called once when a worker has seen a higher token. */
  readonly onFenced: () => void;
}
