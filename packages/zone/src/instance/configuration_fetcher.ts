/** Fetches a newer configuration from a peer that has announced it. */
import type {Directory} from '../ports/index.js';
import type {ZoneClient} from '../protocol/index.js';

/** Timeout of a request for the configuration, in ms. */
const FETCH_TIMEOUT_MS = 1_000;

/** Dependencies of a fetcher. */
export interface ConfigurationFetcherOptions {
  readonly directory: Directory;
  /** Finds the client of a connected peer. */
  readonly findClient: (address: string) => ZoneClient | undefined;
}

/** Fetches from one peer at a time. */
export class ConfigurationFetcher {
  private isFetching = false;

  constructor(private readonly options: ConfigurationFetcherOptions) {}

  /** Fetches the peer's configuration; does nothing if that fails. */
  async fetchFrom(address: string): Promise<void> {
    const {directory, findClient} = this.options;
    const client = findClient(address);
    if (client === undefined || this.isFetching) return;
    this.isFetching = true;
    const result = await client.readConfiguration(FETCH_TIMEOUT_MS);
    this.isFetching = false;
    if (result.isErr() || result.value === null) return;
    directory.offerConfiguration(result.value);
  }
}
