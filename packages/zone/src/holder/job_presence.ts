/** Judges whether a job exists that a holder is asked for. */
import type {Millis} from '@goldcrestpier/runtime';
import {JobPresence} from '../protocol/index.js';

/** Time until the owners in the zone have submitted their jobs again, in ms. */
const NEW_HOLDER_MS = 1_000;

/** Judges by whether the holder knows the job, and for how long it has held. */
export function judgePresence(isKnown: boolean, heldMs: Millis): JobPresence {
  if (isKnown) return JobPresence.Known;
  return heldMs < NEW_HOLDER_MS ? JobPresence.Uncertain : JobPresence.Unknown;
}
