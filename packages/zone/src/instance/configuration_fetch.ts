/** Fetches a newer configuration from the peer that has shown to know it. */
import type {Directory} from '../ports/index.js';
import type {ZoneCalls} from '../protocol/index.js';

/** How long the question waits for its answer, in ms. */
const ASK_TIMEOUT_MS = 1_000;

/** What a fetch needs. */
export interface ConfigurationFetchOptions {
  readonly directory: Directory;
  /** The calls of a connected neighbour. */
  readonly findCalls: (address: string) => ZoneCalls | undefined;
}

/** Asks one peer at a time. */
export class ConfigurationFetch {
  private isAsking = false;

  constructor(private readonly options: ConfigurationFetchOptions) {}

  /** Takes what the peer has; nothing changes when it can't be asked now. */
  async askFor(address: string): Promise<void> {
    const {directory, findCalls} = this.options;
    const calls = findCalls(address);
    if (calls === undefined || this.isAsking) return;
    this.isAsking = true;
    const result = await calls.readConfiguration(ASK_TIMEOUT_MS);
    this.isAsking = false;
    if (result.isErr() || result.value === null) return;
    directory.offer(result.value);
  }
}
