/** Locates the instance that owns a session. */
import type {PeerCalls} from '@goldcrestpier/peers';
import type {Incarnation} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** Where the owner of a session is, as far as this instance knows. */
export enum LocationKind {
  /** This instance is the owner. */
  Local = 'here',
  /** This instance has taken over the sessions of an owner that shut down. */
  Adopted = 'adopted',
  Peer = 'peer',
  /** The owner's process has ended for certain; its sessions are lost. */
  Gone = 'gone',
  /** There is no link to the owner, which may still be running. */
  Unreachable = 'unreachable',
}

/** Location of an owner, with the calls to reach it if it is a peer. */
export type OwnerLocation =
  | {
      readonly kind:
        | LocationKind.Local
        | LocationKind.Adopted
        | LocationKind.Gone
        | LocationKind.Unreachable;
    }
  | {
      readonly kind: LocationKind.Peer;
      readonly calls: PeerCalls;
      /**
       * Returns a lower bound for the peer's clock, in milliseconds, at
       * `arrivedAt`; undefined if there is no reading of that clock. An old
       * reading is refreshed first.
       */
      readonly refreshClock: (arrivedAt: Millis) => Promise<Millis | undefined>;
    };

/** Locates the owners of sessions. */
export interface OwnerDirectory {
  locate(owner: Incarnation, now: Millis): OwnerLocation;
}
