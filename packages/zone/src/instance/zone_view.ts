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
import {
  createNeighbour,
  isHeard,
  isHeardWithin,
  isSound,
  isTried,
  latestOf,
  LONGEST_SILENCE_MS,
  setAttention,
  toCandidate,
  type Neighbour,
} from './neighbour.js';
import {chooseAttention, type Attention, type Situation} from './attention.js';

/**
 * Links are kept to so many of the strongest instances, as any two may be lost
 * at once. In a larger zone the rest hear of each other through them.
 */
const CANDIDATES = 3;
/** Silence of a holder that is watched closely and casts doubt on it, in ms. */
const DOUBT_MS = 300;
/** How long an instance that is neither registered nor heard is kept, in ms. */
const FORGET_MS = 10_000;

/** A neighbour to keep a link to. */
export interface LinkedNeighbour {
  readonly address: string;
  readonly attention: Attention;
}

/** Which links an instance keeps. */
export interface LinkChoice {
  readonly links: readonly LinkedNeighbour[];
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
  chooseLinks(situation: Situation, now: Millis): LinkChoice {
    const {holderId} = situation;
    const candidates = this.chooseCandidates(now);
    const isCandidate = candidates.includes(undefined);
    const chosen = new Set(candidates.filter(other => other !== undefined));
    for (const neighbour of this.neighbours.values()) {
      // Who is at an address without an id is only known once it is heard.
      const isUnknown = neighbour.id === '';
      if (isUnknown || neighbour.id === holderId) chosen.add(neighbour);
      if (!chosen.has(neighbour)) neighbour.linkedAt = undefined;
    }
    for (const neighbour of chosen) {
      neighbour.linkedAt ??= now;
      const {id} = neighbour;
      const attention = chooseAttention(id, situation, isCandidate);
      setAttention(neighbour, attention, now);
    }
    const links = [...chosen].map(({address, attention}) => ({
      address,
      attention,
    }));
    return {links, isCandidate};
  }

  /** Whether an instance may be gone: its host says so, or it is silent too long. */
  isDoubtful(id: string, now: Millis): boolean {
    const known = this.findById(id);
    if (known?.isRefused === true) return true;
    if (known?.attention.isClose !== true) return false;
    return now - latestOf(known.heardAt, known.closeSince) >= DOUBT_MS;
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
      if (!isHeardWithin(known.heardAt, LONGEST_SILENCE_MS, now)) {
        known.id = id;
      }
    }
    for (const [id, at] of this.contacts) {
      if (!isHeardWithin(at, SILENCE_MS, now)) this.contacts.delete(id);
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

  /** Notes something else than a heartbeat: its sender lives, too. */
  noteContact(id: string, now: Millis): void {
    this.contacts.set(id, now);
    const known = this.findById(id);
    if (known?.heardAt !== undefined) known.heardAt = now;
  }

  /** Notes when the instance that was heard at an address last answered. */
  noteAnswer(address: string, at: Millis): void {
    const known = this.neighbours.get(address);
    if (known?.heardAt === undefined) return;
    known.heardAt = Math.max(known.heardAt, at);
  }

  /** Whether this instance was heard a moment ago. */
  isAlive(id: string, now: Millis): boolean {
    const known = this.findById(id);
    // Its host answers for it: the process is gone.
    if (known?.isRefused === true) return false;
    if (isHeardWithin(this.contacts.get(id), SILENCE_MS, now)) return true;
    return known !== undefined && isHeard(known, now);
  }

  /** The address of an instance; undefined when it is not known. */
  addressOf(id: string): string | undefined {
    return this.findById(id)?.address;
  }

  /** How long ago the instance was last heard from; undefined if it seems gone. */
  heardMs(id: string, now: Millis): Millis | undefined {
    if (id === this.self.id) return 0;
    const known = this.findById(id);
    if (known?.heardAt === undefined || known.isRefused) return undefined;
    return now - known.heardAt;
  }

  /** The members as the election takes them. */
  members(now: Millis): Member[] {
    const members: Member[] = [];
    for (const neighbour of this.neighbours.values()) {
      const {id, last, heardAt, isRefused, linkedAt} = neighbour;
      if (id === '') continue;
      // Of those that are not linked, silence tells nothing.
      if (linkedAt === undefined && !isHeard(neighbour, now)) continue;
      const holderHeardMs = last?.holderHeardMs;
      members.push({
        ...toCandidate(neighbour),
        isTried: isTried(neighbour, now),
        isLeaving: last?.isLeaving ?? false,
        heardAt,
        isHeard: isHeard(neighbour, now),
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
    const added = createNeighbour(address, id);
    this.neighbours.set(address, added);
    return added;
  }

  private findById(id: string): Neighbour | undefined {
    for (const neighbour of this.neighbours.values()) {
      if (neighbour.id === id) return neighbour;
    }
    return undefined;
  }
}
