/** What the connections of clients share, and what they report. */
import type {BlockPool} from './block_pool.js';
import type {ClientConnection} from './client_connection.js';
import type {PauseQuota} from './socket_pause.js';

/** What a connection reports. */
export interface ConnectionEvents {
  /** Reading stopped until requests of the connection end. */
  readonly onPause: () => void;
  /** There is no memory for what the connection holds, or others need it. */
  readonly onMemoryShort: (connection: ClientConnection) => void;
}

/** What all connections share. */
export interface SharedResources {
  readonly pool: BlockPool;
  readonly pauses: PauseQuota;
}
