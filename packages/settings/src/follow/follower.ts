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

/** Source of the current tree. */
export enum SettingsOrigin {
  /** No settings were received yet; the defaults apply. */
  Defaults = 'defaults',
  Platform = 'platform',
  Peer = 'peer',
}

/** Options of a settings follower. */
export interface FollowerOptions {
  readonly client: KeyValueClient;
  /** Fetches the tree of a peer if it is newer. Never rejects. */
  readonly fetchFromPeer: (
    knownRevision: number,
    peer: string,
  ) => Promise<Result<SettingsAnswer, Failure>>;
  readonly logger: Logger;
  readonly lifecycle: Lifecycle;
  /** Interval of the poll that detects a stuck watch, in milliseconds. */
  readonly pollMs?: Millis;
}

/**
 * Keeps the latest settings received from the platform or from peers. Only a
 * higher revision replaces the current one, whatever its source.
 */
export class SettingsFollower {
  private readonly topic = createTopic<SettingsTree>();
  private readonly wakeup = new Wakeup();
  private readonly watch: PlatformWatch;
  /** Revisions of the peers that announced a higher revision. */
  private readonly newerPeers = new Map<string, number>();
  private tree = SettingsTree.createEmpty();
  private treeOrigin = SettingsOrigin.Defaults;
  private readonly lifecycle: Lifecycle;
  private watchLifecycle: Lifecycle | undefined;

  constructor(private readonly options: FollowerOptions) {
    const {client, logger, pollMs = DEFAULT_POLL_MS} = options;
    this.lifecycle = options.lifecycle.createChild('settings');
    this.watch = new PlatformWatch({
      client,
      pollMs,
      logger,
      getCurrentTree: () => this.tree,
      apply: tree => this.apply(tree, SettingsOrigin.Platform),
    });
  }

  /** The settings that this instance applies. */
  get current(): SettingsTree {
    return this.tree;
  }

  /** Source of the current settings. */
  get origin(): SettingsOrigin {
    return this.treeOrigin;
  }

  /** Publishes each tree when it becomes current. */
  get changes(): Stream<SettingsTree> {
    return this.topic.stream;
  }

  /** Whether this instance watches the platform for its zone. */
  get isWatching(): boolean {
    return this.watchLifecycle !== undefined;
  }

  /** Starts fetching newer trees from peers. */
  start(): void {
    this.lifecycle.own('changes', () => this.topic.end());
    this.lifecycle.run(
      'peers',
      signal => this.followPeers(signal),
      cause =>
        this.options.logger.error('settings sync from peers failed', {
          cause: String(cause),
        }),
    );
  }

  /** Starts or stops watching the platform on behalf of the zone. */
  setWatching(isWatching: boolean): void {
    if (isWatching === this.isWatching) return;
    const fields = {revision: this.tree.revision};
    if (isWatching) {
      this.options.logger.info(
        'started watching settings in the key-value service',
        fields,
      );
      this.watchLifecycle = this.lifecycle.createChild('watch');
      this.watch.start(this.watchLifecycle);
      return;
    }
    this.options.logger.info(
      'stopped watching settings in the key-value service',
      fields,
    );
    void this.watchLifecycle?.close();
    this.watchLifecycle = undefined;
  }

  /** Records a peer's revision from its heartbeat; if newer, starts a fetch. */
  recordPeerRevision(revision: number, peer: string): void {
    if (revision <= this.tree.revision) return;
    this.newerPeers.set(peer, revision);
    this.wakeup.notify();
  }

  /** Returns the revision, with the nodes if newer than `knownRevision`. */
  getSnapshotIfNewer(knownRevision: number): SettingsAnswer {
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
      // Its next heartbeat adds it again if its revision is still higher.
      this.newerPeers.delete(peer);
      await this.fetchSettings(peer);
    }
  }

  private choosePeer(): string | undefined {
    for (const [peer, revision] of this.newerPeers) {
      if (revision <= this.tree.revision) this.newerPeers.delete(peer);
    }
    const [first] = [...this.newerPeers].sort(([, a], [, b]) => b - a);
    return first?.[0];
  }

  private async fetchSettings(peer: string): Promise<void> {
    const known = this.tree.revision;
    const answer = await this.options.fetchFromPeer(known, peer);
    if (answer.isErr()) {
      const {code} = answer.error;
      this.options.logger.info('failed to fetch settings from a peer', {
        peer,
        code,
      });
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
    this.options.logger.error('ignored invalid settings from a peer', fields);
  }

  private apply(tree: SettingsTree, origin: SettingsOrigin): void {
    const {revision} = this.tree;
    if (tree.revision < revision) {
      const fields = {revision, offered: tree.revision, origin};
      this.options.logger.warn(
        'ignored settings older than the current revision',
        fields,
      );
      return;
    }
    if (this.treeOrigin === SettingsOrigin.Defaults) this.treeOrigin = origin;
    if (tree.revision === revision) return;
    this.tree = tree;
    this.treeOrigin = origin;
    const fields = {revision: tree.revision, origin};
    this.options.logger.info('applied a new settings revision', fields);
    this.topic.publish(tree);
  }
}
