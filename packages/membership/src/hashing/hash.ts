/** A stable hash of names, alike in every process. */
import {createHash} from 'node:crypto';

/** A name's hash in two halves of 32 bits. */
export interface NameHash {
  readonly high: number;
  readonly low: number;
}

/** Bits of each half that make up the 53 of a whole number. */
const HIGH_SHIFT = 5;
const LOW_SHIFT = 6;
const LOW_RANGE = 2 ** 26;
const WHOLE_RANGE = 2 ** 53;

/** Hashes one name. */
export function hashName(name: string): NameHash {
  const digest = createHash('sha256').update(name).digest();
  return {high: digest.readUInt32BE(0), low: digest.readUInt32BE(4)};
}

/** Mixes two names' hashes into a number between 0 and 1, both left out. */
export function mixHashes(a: NameHash, b: NameHash): number {
  const high = scramble(a.high ^ scramble(b.high));
  const low = scramble(a.low ^ scramble(b.low ^ high));
  const whole = (high >>> HIGH_SHIFT) * LOW_RANGE + (low >>> LOW_SHIFT);
  return (whole + 0.5) / WHOLE_RANGE;
}

/** The well-known last step of MurmurHash3, which spreads every bit. */
function scramble(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
