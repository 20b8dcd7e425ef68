/** What a holder is made of. */
import type {DispatcherOptions} from '@goldcrestpier/dispatch';
import type {Lifecycle, Logger} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {WorkerPort} from '../ports/index.js';
import type {FindZone} from './lender.js';

/** What a holder needs. */
export interface HolderOptions {
  readonly zone: string;
  /** Finds the holder of another zone. */
  readonly findZone: FindZone;
  readonly token: number;
  readonly bounds: DispatcherOptions;
  readonly port: WorkerPort;
  readonly logger: Logger;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
  /** Called once when a worker follows a higher token. */
  readonly onFenced: () => void;
}
