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

const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;
/** How long the watch may lag behind a poll before it is considered stuck. */
const WATCH_LAG_TOLERANCE_MS = 500;

/** Options of the watch, provided by the follower. */
export interface WatchOptions {
  readonly client: KeyValueClient;
  readonly pollMs: Millis;
  readonly logger: Logger;
  getCurrentTree(): SettingsTree;
  apply(tree: SettingsTree): void;
}

/**
 * Watches the tree in the platform's key-value service. A poll of the revision
 * key detects a watch that stays open but no longer delivers events.
 */
export class PlatformWatch {
  private watchRestart = new AbortController();

  constructor(private readonly options: WatchOptions) {}

  /** Watches and polls until `lifecycle` closes. */
  start(lifecycle: Lifecycle): void {
    const onFailure = (cause: unknown) =>
      this.options.logger.error('settings watch or poll failed', {
        cause: String(cause),
      });
    lifecycle.run('watch', signal => this.runWatch(signal), onFailure);
    lifecycle.run('poll', signal => this.runPoll(signal), onFailure);
  }

  private async runWatch(signal: AbortSignal): Promise<void> {
    let delayMs: Millis = MIN_RETRY_DELAY_MS;
    while (!signal.aborted) {
      this.watchRestart = new AbortController();
      const loaded = await this.readTree();
      if (loaded.isErr()) {
        const {reason, detail} = loaded.error;
        const fields = {reason, detail};
        this.options.logger.warn('failed to read the settings', fields);
        await sleep(delayMs, signal);
        delayMs = Math.min(delayMs * 2, MAX_RETRY_DELAY_MS);
        continue;
      }
      delayMs = MIN_RETRY_DELAY_MS;
      const stopOrRestart = AbortSignal.any([signal, this.watchRestart.signal]);
      await this.watchFrom(loaded.value + 1, stopOrRestart);
    }
  }

  /** Applies watch events until the whole tree must be read again. */
  private async watchFrom(
    fromRevision: number,
    signal: AbortSignal,
  ): Promise<void> {
    const query = {key: TREE_PREFIX, isPrefix: true, fromRevision};
    for await (const message of this.options.client.watch(query, signal)) {
      switch (message.kind) {
        case WatchKind.Opened:
        case WatchKind.Disconnected:
          break;
        case WatchKind.Gap:
          return;
        case WatchKind.Events: {
          const next = applyEvents(
            this.options.getCurrentTree(),
            message.events,
          );
          if (next === undefined) return;
          this.options.apply(next);
        }
      }
    }
  }

  /** Reads and applies the whole tree; returns the service's revision of it. */
  private async readTree(): Promise<Result<number, PlatformFailure>> {
    const query = {key: TREE_PREFIX, isPrefix: true};
    const answer = await this.options.client.range(query);
    if (answer.isErr()) return Err(answer.error);
    const {revision, values} = answer.value;
    const stored = parseTree(values);
    if (stored === undefined || stored.unreadable.length > 0) {
      const nodes = stored?.unreadable.join(' ');
      this.options.logger.error('stored settings cannot be parsed', {nodes});
      return Ok(revision);
    }
    const tree = SettingsTree.create(stored.revision, stored.nodes);
    if (tree.isOk()) this.options.apply(tree.value);
    else this.logProblems(stored.revision, tree.error.length);
    return Ok(revision);
  }

  private async runPoll(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.options.pollMs, signal);
      const polled = await this.options.client.range({key: REVISION_KEY});
      if (polled.isErr()) continue;
      const [value] = polled.value.values;
      const {revision = 0} = (value && parseRecord(value.value)) ?? {};
      if (revision <= this.options.getCurrentTree().revision) continue;
      await sleep(WATCH_LAG_TOLERANCE_MS, signal);
      if (revision <= this.options.getCurrentTree().revision) continue;
      this.options.logger.info('settings watch is stuck; reading the tree', {
        revision,
      });
      this.watchRestart.abort();
    }
  }

  private logProblems(revision: number, problems: number): void {
    this.options.logger.error('ignored invalid stored settings', {
      revision,
      problems,
    });
  }
}
