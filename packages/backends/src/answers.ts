/** What backend servers answer, checked before it is believed. */
import {z} from 'zod';

const LONGEST_REASON_CHARACTERS = 500;

/** Codes of a server's answer that is not a result. */
export enum RefusalCode {
  Busy = 'busy',
  Leaving = 'leaving',
  Failed = 'failed',
}

/** A refusal or failure that the server typed. */
export const refusalSchema = z.object({
  code: z.enum(RefusalCode),
  reason: z
    .string()
    .transform(text => text.slice(0, LONGEST_REASON_CHARACTERS))
    .default('no reason given'),
});

/** The status that goes with each code; another pair is not believed. */
export const REFUSAL_STATUS: Readonly<Record<RefusalCode, readonly number[]>> =
  {
    [RefusalCode.Busy]: [429, 409],
    [RefusalCode.Leaving]: [503],
    [RefusalCode.Failed]: [500],
  };
