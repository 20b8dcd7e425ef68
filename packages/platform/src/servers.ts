/** Backend servers as listed in the platform's instance list. */
import type {BackendKind} from '@goldcrestpier/protocol';

/** Whether a server may receive new tasks. */
export enum ServerState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One backend server of the instance list. */
export interface Server {
  /** Unique name. */
  readonly name: string;
  readonly kind: BackendKind;
  readonly zone: string;
  /** `runner/<service>` or `worker`. */
  readonly pool: string;
  /** `host:port`. */
  readonly address: string;
  readonly state: ServerState;
  /** Maximum number of concurrent tasks of a runner; 0 for a worker. */
  readonly slots: number;
  /** Total capacity of a worker, used or not; 0 for a runner. */
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly rack: string | undefined;
}
