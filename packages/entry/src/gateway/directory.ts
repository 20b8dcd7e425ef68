/** Where the owner of a session is, as far as this instance knows. */
import type {PeerCalls} from '@goldcrestpier/peers';
import type {Incarnation} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** Where an owner is. */
export enum OwnerPlace {
  /** This instance is the owner. */
  Here = 'here',
  /** This instance answers for an owner that left. */
  Adopted = 'adopted',
  Peer = 'peer',
  /** Known to have ended; it never comes back. */
  Gone = 'gone',
  Unreachable = 'unreachable',
}

/** Where an owner is. */
export type OwnerLocation =
  | {
      readonly kind:
        | OwnerPlace.Here
        | OwnerPlace.Adopted
        | OwnerPlace.Gone
        | OwnerPlace.Unreachable;
    }
  | {
      readonly kind: OwnerPlace.Peer;
      readonly calls: PeerCalls;
      /**
       * The peer's clock as it was heard before what arrived at `arrivedAt`
       * can have arrived, in milliseconds; undefined when it does not answer.
       */
      readonly learnClock: (arrivedAt: Millis) => Promise<Millis | undefined>;
    };

/** Finds owners. */
export interface OwnerDirectory {
  locate(owner: Incarnation, now: Millis): OwnerLocation;
}
