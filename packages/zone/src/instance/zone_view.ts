/** The other instances of the zone, as registered and as heard. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  compareStrength,
  SILENCE_MS,
  type Candidate,
  type Member,
} from '../election/index.js';
import type {Registration} from '../ports/index.js';
import type {ZoneHeartbeat} from '../protocol/index.js';

/**
 * Links are kept to so many of the strongest instances, as any two may be lost
 * at once. In a larger zone the rest hear of each other through them.
 */
const CANDIDATES = 3;
/** How long an instance that is neither registered nor heard is kept, in ms. */
const FORGET_MS = 10_000;

interface Neighbour {
  readonly address: string;
  id: string;
  /** As registered or told; undefined before either. */
  processors: number | undefined;
  isRegistered: boolean;
  last: ZoneHeartbeat | undefined;
  heardAt: Millis | undefined;
  isRefused: boolean;
  /** Since when a link to it is kept; undefined without one. */
  linkedAt: Millis | undefined;
}

/** Which links an instance keeps. */
export interface LinkChoice {
  readonly addresses: readonly string[];
  /** Whether the instance is one of those that the others keep links to. */
  readonly isCandidate: boolean;
}

/** Keeps one record for each address of the zone. */
export class ZoneView {
  private readonly neighbours = new Map<string, Neighbour>();
  /** When each instance last sent something else than a heartbeat. */
  private readonly contacts = new Map<string, Millis>();

  constructor(
    private readonly zone: string,
    private readonly selfAddress: string,
    private readonly self: Candidate,
  ) {}

  /**
   * The addresses to keep links to: of the strongest instances that can be
   * heard, of those before them that can not, and of the holder.
   */
  chooseLinks(holderId: string | undefined, now: Millis): LinkChoice {
    const candidates = this.chooseCandidates(now);
    const isCandidate = candidates.includes(undefined);
    const chosen = new Set(candidates.filter(other => other !== undefined));
    for (const neighbour of this.neighbours.values()) {
      // Who is at an address without an id is only known once it is heard.
      const isUnknown = neighbour.id === '';
      if (isUnknown || neighbour.id === holderId) chosen.add(neighbour);
      if (!chosen.has(neighbour)) neighbour.linkedAt = undefined;
    }
    for (const neighbour of chosen) neighbour.linkedAt ??= now;
    const addresses = [...chosen].map(({address}) => address);
    return {addresses, isCandidate};
  }

  /** The strongest instances; this one is undefined. */
  private chooseCandidates(now: Millis): (Neighbour | undefined)[] {
    const known = [...this.neighbours.values()]
      .filter(({id}) => id !== '')
      .map(neighbour => ({...toCandidate(neighbour), neighbour}));
    const ranked = [...known, {...this.self, neighbour: undefined}];
    const chosen: (Neighbour | undefined)[] = [];
    let sound = 0;
    for (const {neighbour} of ranked.sort(compareStrength)) {
      if (sound === CANDIDATES) break;
      chosen.push(neighbour);
      if (neighbour === undefined || isSound(neighbour, now)) sound += 1;
    }
    return chosen;
  }

  /** Takes the platform's list, which may be old. */
  setRegistrations(list: readonly Registration[], now: Millis): void {
    for (const neighbour of this.neighbours.values()) {
      neighbour.isRegistered = false;
    }
    for (const {id, zone, address, processors} of list) {
      if (zone !== this.zone || address === this.selfAddress) continue;
      const known = this.find(address, id);
      known.isRegistered = true;
      known.processors ??= processors;
      if (!isHeardAt(known.heardAt, now)) known.id = id;
    }
    for (const [id, at] of this.contacts) {
      if (!isHeardAt(at, now)) this.contacts.delete(id);
    }
    for (const [address, {isRegistered, heardAt}] of this.neighbours) {
      const isOld = now - (heardAt ?? 0) > FORGET_MS;
      if (!isRegistered && isOld) this.neighbours.delete(address);
    }
  }

  /** Adds an address that is worth a try, without knowing who is there. */
  addAddress(address: string): void {
    if (address !== this.selfAddress) this.find(address, '');
  }

  /** Notes a heartbeat that came or that answered ours. */
  hear(message: ZoneHeartbeat, now: Millis): void {
    if (message.zone !== this.zone || message.address === this.selfAddress) {
      this.neighbours.delete(message.address);
      return;
    }
    const known = this.find(message.address, message.id);
    known.id = message.id;
    known.processors = message.processors;
    known.last = message;
    known.heardAt = now;
    known.isRefused = false;
  }

  /** Notes that the host says that no process listens at the address. */
  noteRefused(address: string): void {
    const known = this.neighbours.get(address);
    if (known !== undefined) known.isRefused = true;
  }

  /** Notes a message other than a heartbeat: its sender lives, too. */
  noteContact(id: string, now: Millis): void {
    this.contacts.set(id, now);
  }

  /** Whether this instance was heard a moment ago. */
  isAlive(id: string, now: Millis): boolean {
    const known = [...this.neighbours.values()].find(other => other.id === id);
    // Its host answers for it: the process is gone.
    if (known?.isRefused === true) return false;
    if (isHeardAt(this.contacts.get(id), now)) return true;
    return isHeardAt(known?.heardAt, now);
  }

  /** The address of an instance; undefined when it is not known. */
  addressOf(id: string): string | undefined {
    for (const neighbour of this.neighbours.values()) {
      if (neighbour.id === id) return neighbour.address;
    }
    return undefined;
  }

  /** How long ago the instance was last heard from. */
  heardMs(id: string, now: Millis): Millis | undefined {
    if (id === this.self.id) return 0;
    for (const neighbour of this.neighbours.values()) {
      if (neighbour.id !== id) continue;
      const {heardAt} = neighbour;
      return heardAt === undefined ? undefined : now - heardAt;
    }
    return undefined;
  }

  /** The members as the election takes them. */
  members(now: Millis): Member[] {
    const members: Member[] = [];
    for (const neighbour of this.neighbours.values()) {
      const {id, last, heardAt, isRefused, linkedAt} = neighbour;
      if (id === '') continue;
      // Of those that are not linked, silence tells nothing.
      if (linkedAt === undefined && !isHeardAt(heardAt, now)) continue;
      const holderHeardMs = last?.holderHeardMs;
      members.push({
        ...toCandidate(neighbour),
        isTried: isTried(neighbour, now),
        isLeaving: last?.isLeaving ?? false,
        heardAt,
        isRefused,
        holderId: last?.claim?.holderId,
        holderHeardAt:
          heardAt === undefined || holderHeardMs === undefined
            ? undefined
            : heardAt - holderHeardMs,
      });
    }
    return members;
  }

  private find(address: string, id: string): Neighbour {
    const known = this.neighbours.get(address);
    if (known !== undefined) return known;
    const added: Neighbour = {
      address,
      id,
      processors: undefined,
      isRegistered: false,
      last: undefined,
      heardAt: undefined,
      isRefused: false,
      linkedAt: undefined,
    };
    this.neighbours.set(address, added);
    return added;
  }
}

function isHeardAt(heardAt: Millis | undefined, now: Millis): boolean {
  return heardAt !== undefined && now - heardAt < SILENCE_MS;
}

function toCandidate({id, processors = 0}: Neighbour): Candidate {
  return {id, processors};
}

/** Whether it answers, or may answer in a moment. */
function isSound(neighbour: Neighbour, now: Millis): boolean {
  if (neighbour.last?.isLeaving === true) return false;
  if (isHeardAt(neighbour.heardAt, now)) return true;
  return neighbour.linkedAt === undefined || isTried(neighbour, now);
}

/** Whether a link to it is too young for its silence to tell anything. */
function isTried(
  {heardAt, isRefused, linkedAt}: Neighbour,
  now: Millis,
): boolean {
  if (linkedAt === undefined || isRefused) return false;
  return !isHeardAt(heardAt, now) && now - linkedAt < SILENCE_MS;
}
