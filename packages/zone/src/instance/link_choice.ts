/** The links that an instance keeps to other instances of its zone. */
import type {PeerMonitoring} from './peer_monitoring.js';

/** A peer to keep a link to. */
export interface LinkedPeer {
  readonly address: string;
  readonly monitoring: PeerMonitoring;
}

/** The links that an instance keeps. */
export interface LinkChoice {
  readonly links: readonly LinkedPeer[];
  /** Whether the instance is one that its peers keep links to. */
  readonly isCandidate: boolean;
}
