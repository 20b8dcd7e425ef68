/**
 * Logs which connections limits have closed: one line for each reason and interval,
 * however many clients there are.
 */
import type {Logger} from '@goldcrestpier/runtime';
import type {CloseReason} from './close_reason.js';

/** Maximum number of addresses that are counted for a line. */
const MAX_ADDRESSES = 100;
/** Number of addresses that a line names. */
const NAMED_ADDRESSES = 3;

/** What was closed for one reason. */
interface Closures {
  connections: number;
  readonly byAddress: Map<string, number>;
}

/** Collects closed connections until they are logged. */
export class ClosureLog {
  private readonly closures = new Map<CloseReason, Closures>();

  constructor(private readonly logger: Logger) {}

  /** Records that the connection of a client at an address was closed. */
  record(reason: CloseReason, address = 'unknown'): void {
    const closures = this.closures.get(reason) ?? createClosures();
    this.closures.set(reason, closures);
    closures.connections += 1;
    const {byAddress} = closures;
    const count = byAddress.get(address) ?? 0;
    if (count > 0 || byAddress.size < MAX_ADDRESSES)
      byAddress.set(address, count + 1);
  }

  /** Logs what was recorded since the last call. */
  flush(): void {
    for (const [reason, {connections, byAddress}] of this.closures) {
      const addresses = [...byAddress]
        .sort(([, one], [, other]) => other - one)
        .slice(0, NAMED_ADDRESSES)
        .map(([address]) => address);
      const fields = {reason, connections, addresses: addresses.join(' ')};
      this.logger.warn('connections closed by a limit', fields);
    }
    this.closures.clear();
  }
}

function createClosures(): Closures {
  return {connections: 0, byAddress: new Map()};
}
