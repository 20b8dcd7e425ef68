/** Options of an instance. */
import type {DispatcherOptions} from '@goldcrestpier/dispatch';
import type {Lifecycle, Logs} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {Directory, WorkerPort} from '../ports/index.js';
import type {OpenLink} from './links.js';

/** The address of an instance's listener for peers. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Dependencies and settings of an instance. */
export interface InstanceOptions {
  /** Unique for each start of a process. */
  readonly id: string;
  readonly zone: string;
  /** Processors that it may use; may be fractional. */
  readonly processors: number;
  readonly listen: PeerAddress;
  /** The part of its fencing tokens that is unique to this process. */
  readonly nonce: number;
  readonly dispatchOptions: DispatcherOptions;
  readonly directory: Directory;
  readonly workerPort: WorkerPort;
  readonly openLink: OpenLink;
  /** All other zones of the deployment. */
  readonly otherZones: readonly string[];
  /** Addresses of peers to try while the platform's list is unavailable. */
  readonly seeds: readonly string[];
  readonly logs: Logs;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
}
