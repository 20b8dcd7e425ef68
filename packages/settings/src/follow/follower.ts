import type {KeyValueClient} from '@goldcrestpier/platform';
import type {SettingsAnswer} from '@goldcrestpier/peers';
import type {Failure} from '@goldcrestpier/protocol';
import {
  createTopic,
  Wakeup,
  type Lifecycle,
  type Logger,
  type Millis,
} from '@goldcrestpier/runtime';
import type {Stream} from 'most';
import type {Result} from 'ts-results-es';
import {SettingsTree} from '../tree/tree.js';
import {PlatformWatch} from './platform_watch.js';

const DEFAULT_POLL_MS = 2_000;

/** Where the tree in force came from. */
export enum SettingsOrigin {
  /** Nothing was heard yet; the defaults are in force. */
  Defaults = 'defaults',
  Platform = 'platform',
  Peer = 'peer',
}

/** What a follower is made with. */
export interface FollowerOptions {
  readonly client: KeyValueClient;
  /** Asks one peer for its tree when that is newer. Never rejects. */
  readonly fetchFromPeer: (
    knownRevision: number,
    peer: string,
  ) => Promise<Result<SettingsAnswer, Failure>>;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** How often a watcher checks that its watch is not stuck. */
  readonly pollMs?: Millis;
}

/**
 * Keeps the newest settings that were heard of. Only a higher revision takes
 * the place of the one in force, wherever it comes from.
 */
export class SettingsFollower {
  private readonly topic = createTopic<SettingsTree>();
  private readonly wakeup = new Wakeup();
  private readonly watch: PlatformWatch;
  /** Peers that showed a higher revision, and which. */
  private readonly ahead = new Map<string, number>();
  private tree = SettingsTree.createEmpty();
  private heardFrom = SettingsOrigin.Defaults;
  private readonly lifecycle: Lifecycle;
  private watching: Lifecycle | undefined;

  constructor(private readonly options: FollowerOptions) {
    const {client, logger, pollMs = DEFAULT_POLL_MS} = options;
    this.lifecycle = options.lifecycle.createChild('settings');
    this.watch = new PlatformWatch({
      client,
      pollMs,
      logger,
      readCurrent: () => this.tree,
      apply: tree => this.apply(tree, SettingsOrigin.Platform),
    });
  }

  /** The settings in force here. */
  get current(): SettingsTree {
    return this.tree;
  }

  /** Where they came from. */
  get origin(): SettingsOrigin {
    return this.heardFrom;
  }

  /** Publishes each tree that comes into force. */
  get changes(): Stream<SettingsTree> {
    return this.topic.stream;
  }

  /** Whether this instance watches the platform for its zone. */
  get isWatching(): boolean {
    return this.watching !== undefined;
  }

  /** Begins to take newer trees from peers. */
  start(): void {
    this.lifecycle.own('changes', () => this.topic.end());
    this.lifecycle.run(
      'peers',
      signal => this.followPeers(signal),
      cause =>
        this.options.logger.error('following ended', {cause: String(cause)}),
    );
  }

  /** Says whether this instance has to watch the platform for its zone. */
  setWatching(isWatching: boolean): void {
    if (isWatching === this.isWatching) return;
    const fields = {revision: this.tree.revision};
    if (isWatching) {
      this.options.logger.info('watching the platform', fields);
      this.watching = this.lifecycle.createChild('watch');
      this.watch.start(this.watching);
      return;
    }
    this.options.logger.info('leaving the watch to another', fields);
    void this.watching?.close();
    this.watching = undefined;
  }

  /** Takes note of the revision that a peer's heartbeat shows. */
  noticeRevision(revision: number, peer: string): void {
    if (revision <= this.tree.revision) return;
    this.ahead.set(peer, revision);
    this.wakeup.tell();
  }

  /** What a peer that knows `knownRevision` has to be answered. */
  snapshotFor(knownRevision: number): SettingsAnswer {
    const {revision} = this.tree;
    if (revision <= knownRevision) return {revision};
    return {revision, nodes: {...this.tree.toSnapshot().nodes}};
  }

  private async followPeers(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peer = this.choosePeer();
      if (peer === undefined) {
        await this.wakeup.wait(signal);
        continue;
      }
      // Its next heartbeat brings it back when it is still ahead.
      this.ahead.delete(peer);
      await this.fetch(peer);
    }
  }

  private choosePeer(): string | undefined {
    for (const [peer, revision] of this.ahead) {
      if (revision <= this.tree.revision) this.ahead.delete(peer);
    }
    const [first] = [...this.ahead].sort(([, a], [, b]) => b - a);
    return first?.[0];
  }

  private async fetch(peer: string): Promise<void> {
    const known = this.tree.revision;
    const answer = await this.options.fetchFromPeer(known, peer);
    if (answer.isErr()) {
      const {code} = answer.error;
      this.options.logger.info('a peer gave no settings', {peer, code});
      return;
    }
    const {revision, nodes} = answer.value;
    if (nodes === undefined || revision <= this.tree.revision) return;
    const tree = SettingsTree.fromSnapshot({revision, nodes});
    if (tree.isOk()) {
      this.apply(tree.value, SettingsOrigin.Peer);
      return;
    }
    const problems = tree.error.length;
    const fields = {peer, revision, problems};
    this.options.logger.error("a peer's settings are not valid here", fields);
  }

  private apply(tree: SettingsTree, origin: SettingsOrigin): void {
    const {revision} = this.tree;
    if (tree.revision < revision) {
      const fields = {revision, offered: tree.revision, origin};
      this.options.logger.warn('older settings were not taken', fields);
      return;
    }
    if (this.heardFrom === SettingsOrigin.Defaults) this.heardFrom = origin;
    if (tree.revision === revision) return;
    this.tree = tree;
    this.heardFrom = origin;
    const fields = {revision: tree.revision, origin};
    this.options.logger.info('settings are in force', fields);
    this.topic.publish(tree);
  }
}
