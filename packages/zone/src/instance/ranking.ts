/** Ranks the peers of the zone and this instance for the election. */
import {compareCandidates, type Candidate} from '../election/index.js';
import {toCandidate, type Peer} from './peer.js';

/** Keeps the order until it is told that a peer or its rank has changed. */
export class Ranking {
  private order: readonly (Peer | undefined)[] | undefined;

  constructor(private readonly self: Candidate) {}

  /** Has to be called after a peer was added, removed or changed its rank. */
  invalidate(): void {
    this.order = undefined;
  }

  /** Lists the known peers, highest first; undefined stands for this instance. */
  list(peers: Iterable<Peer>): readonly (Peer | undefined)[] {
    this.order ??= this.rank(peers);
    return this.order;
  }

  private rank(peers: Iterable<Peer>): (Peer | undefined)[] {
    const known = [...peers]
      .filter(({id}) => id !== '')
      .map(peer => ({...toCandidate(peer), peer}));
    return [...known, {...this.self, peer: undefined}]
      .sort(compareCandidates)
      .map(({peer}) => peer);
  }
}
