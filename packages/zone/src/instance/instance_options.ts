/** What an instance is made of. */
import type {DispatcherOptions} from '@goldcrestpier/dispatch';
import type {Lifecycle, Logs} from '@goldcrestpier/runtime';
import type {ZoneMetrics} from '../metrics/index.js';
import type {Directory, WorkerPort} from '../ports/index.js';

/** Where an instance's listener for peers stands. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** What an instance needs. */
export interface InstanceOptions {
  /** Differs for each start of a process. */
  readonly id: string;
  readonly zone: string;
  /** What it may use of processors, in whole ones. */
  readonly processors: number;
  readonly listen: PeerAddress;
  /** The part of its tokens that is this process's own. */
  readonly nonce: number;
  readonly bounds: DispatcherOptions;
  readonly directory: Directory;
  readonly port: WorkerPort;
  /** All other zones of the deployment. */
  readonly otherZones: readonly string[];
  /** Addresses of peers that are worth a try without the platform's list. */
  readonly seeds: readonly string[];
  readonly logs: Logs;
  readonly metrics: ZoneMetrics;
  readonly lifecycle: Lifecycle;
}
