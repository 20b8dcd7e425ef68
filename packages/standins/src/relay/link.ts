/** The state of the network between two parties: delays, and cuts. */

/** How a cut shows to both sides. */
export enum Cut {
  /** Connections are closed, new ones too. */
  Closed = 'closed',
  /** Connections stay open and nothing passes. */
  Silent = 'silent',
}

/** One-way delays, in milliseconds. */
export interface Delays {
  /** From the connecting side to the target. */
  readonly forwardMs: number;
  /** From the target back. */
  readonly backwardMs: number;
}

/** What hears of a link's cuts: its connections and its relays' listeners. */
export interface LinkMember {
  cut(cut: Cut): void;
  heal(): void;
}

/** The network between two parties; any number of connections share it. */
export class Link {
  private readonly members = new Set<LinkMember>();
  private readonly listeners = new Set<LinkMember>();
  private currentCut: Cut | undefined;
  private passedBytes = 0;

  constructor(public delays: Delays = {forwardMs: 0, backwardMs: 0}) {}

  /** The cut in force; undefined while it is whole. */
  get state(): Cut | undefined {
    return this.currentCut;
  }

  /** Connections that pass through it now. */
  get connections(): number {
    return this.members.size;
  }

  /** Bytes that passed in both directions. */
  get bytes(): number {
    return this.passedBytes;
  }

  /** Cuts every connection, and new ones until healed. */
  cut(cut: Cut): void {
    this.currentCut = cut;
    for (const member of [...this.listeners, ...this.members]) member.cut(cut);
  }

  /** Lets new connections pass. Those that were cut silently are closed. */
  heal(): void {
    this.currentCut = undefined;
    for (const member of [...this.members, ...this.listeners]) member.heal();
  }

  /** Counts bytes that pass. */
  addBytes(bytes: number): void {
    this.passedBytes += bytes;
  }

  /** Tells a relay's listener of cuts from now on. */
  addListener(listener: LinkMember): void {
    this.listeners.add(listener);
  }

  /** Tells it no more. */
  removeListener(listener: LinkMember): void {
    this.listeners.delete(listener);
  }

  /** Puts a connection under this link. */
  join(member: LinkMember): void {
    this.members.add(member);
  }

  /** Takes a connection out. */
  leave(member: LinkMember): void {
    this.members.delete(member);
  }
}
