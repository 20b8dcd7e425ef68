/** Backend servers as the platform's instance list names them. */
import type {BackendKind} from '@goldcrestpier/protocol';

/** Whether a server may be given new work. */
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
  /** Tasks at once, for runners. */
  readonly slots: number;
  /** Offered in whole, for workers. */
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly rack: string | undefined;
}
