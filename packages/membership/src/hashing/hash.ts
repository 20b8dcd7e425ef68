/** A hash of names that is the same in every process. */
import {createHash} from 'node:crypto';

/** A 64-bit hash of a name as two unsigned 32-bit halves. */
export interface NameHash {
  readonly high: number;
  readonly low: number;
}

/** Combine 27 high and 26 low bits into a 53-bit integer. */
const HIGH_SHIFT = 5;
const LOW_SHIFT = 6;
const LOW_RANGE = 2 ** 26;
const WHOLE_RANGE = 2 ** 53;

/** Hashes a name with the first 64 bits of its SHA-256 digest. */
export function hashName(name: string): NameHash {
  const digest = createHash('sha256').update(name).digest();
  return {high: digest.readUInt32BE(0), low: digest.readUInt32BE(4)};
}

/** Mixes two hashes into a number between 0 and 1, both exclusive. */
export function mixHashes(a: NameHash, b: NameHash): number {
  const high = finalizeHash(a.high ^ finalizeHash(b.high));
  const low = finalizeHash(a.low ^ finalizeHash(b.low ^ high));
  const whole = (high >>> HIGH_SHIFT) * LOW_RANGE + (low >>> LOW_SHIFT);
  return (whole + 0.5) / WHOLE_RANGE;
}

/** The 32-bit finalizer of MurmurHash3, which diffuses every input bit. */
function finalizeHash(value: number): number {
  let bits = value;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}
