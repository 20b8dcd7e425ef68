import {
  WatchKind,
  type KeyValueClient,
  type PlatformFailure,
} from '@goldcrestpier/platform';
import {
  sleep,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {
  parseRecord,
  parseTree,
  REVISION_KEY,
  TREE_PREFIX,
} from '../edits/layout.js';
import {SettingsTree} from '../tree/tree.js';
import {applyEvents} from './tree_events.js';

const SHORTEST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 2_000;
/** How long the watch may lag behind a poll before it counts as stuck. */
const GRACE_MS = 500;

/** What the watch needs of the follower. */
export interface WatchOptions {
  readonly client: KeyValueClient;
  readonly pollMs: Millis;
  readonly logger: Logger;
  readCurrent(): SettingsTree;
  apply(tree: SettingsTree): void;
}

/**
 * Follows the tree in the platform's service by a watch. A poll of the one
 * revision key finds out when the watch is stuck without being broken.
 */
export class PlatformWatch {
  private restart = new AbortController();

  constructor(private readonly options: WatchOptions) {}

  /** Follows until `lifecycle` closes. */
  start(lifecycle: Lifecycle): void {
    const onFailure = (cause: unknown) =>
      this.options.logger.error('following ended', {cause: String(cause)});
    lifecycle.run('watch', signal => this.follow(signal), onFailure);
    lifecycle.run('poll', signal => this.poll(signal), onFailure);
  }

  private async follow(signal: AbortSignal): Promise<void> {
    let pauseMs: Millis = SHORTEST_PAUSE_MS;
    while (!signal.aborted) {
      this.restart = new AbortController();
      const read = await this.readTree();
      if (read.isErr()) {
        const {reason, detail} = read.error;
        const fields = {reason, detail};
        this.options.logger.warn('the settings could not be read', fields);
        await sleep(pauseMs, signal);
        pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
        continue;
      }
      pauseMs = SHORTEST_PAUSE_MS;
      const either = AbortSignal.any([signal, this.restart.signal]);
      await this.watchFrom(read.value + 1, either);
    }
  }

  /** Applies changes until the tree has to be read anew. */
  private async watchFrom(
    fromRevision: number,
    signal: AbortSignal,
  ): Promise<void> {
    const query = {key: TREE_PREFIX, isPrefix: true, fromRevision};
    for await (const message of this.options.client.watch(query, signal)) {
      switch (message.kind) {
        case WatchKind.Opened:
        case WatchKind.Broken:
          break;
        case WatchKind.Gap:
          return;
        case WatchKind.Events: {
          const next = applyEvents(this.options.readCurrent(), message.events);
          if (next === undefined) return;
          this.options.apply(next);
        }
      }
    }
  }

  /** Reads the whole tree; answers the service's revision of it. */
  private async readTree(): Promise<Result<number, PlatformFailure>> {
    const query = {key: TREE_PREFIX, isPrefix: true};
    const answer = await this.options.client.range(query);
    if (answer.isErr()) return Err(answer.error);
    const {revision, values} = answer.value;
    const stored = parseTree(values);
    if (stored === undefined || stored.unreadable.length > 0) {
      const nodes = stored?.unreadable.join(' ');
      this.options.logger.error('the stored settings are unreadable', {nodes});
      return Ok(revision);
    }
    const tree = SettingsTree.create(stored.revision, stored.nodes);
    if (tree.isOk()) this.options.apply(tree.value);
    else this.logProblems(stored.revision, tree.error.length);
    return Ok(revision);
  }

  private async poll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.options.pollMs, signal);
      const polled = await this.options.client.range({key: REVISION_KEY});
      if (polled.isErr()) continue;
      const [value] = polled.value.values;
      const {revision = 0} = (value && parseRecord(value.value)) ?? {};
      if (revision <= this.options.readCurrent().revision) continue;
      await sleep(GRACE_MS, signal);
      if (revision <= this.options.readCurrent().revision) continue;
      this.options.logger.info('the watch is stuck, reading anew', {revision});
      this.restart.abort();
    }
  }

  private logProblems(revision: number, problems: number): void {
    this.options.logger.error('the stored settings are not valid here', {
      revision,
      problems,
    });
  }
}
