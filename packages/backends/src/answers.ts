/** What backend servers answer, checked before it is believed. */
import type {Millis} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {ExchangeKind, type Exchange} from './exchange/index.js';
import {StartKind, type StartOutcome} from './start_outcome.js';

const LONGEST_REASON_CHARACTERS = 500;

enum RefusalCode {
  Busy = 'busy',
  Leaving = 'leaving',
  Failed = 'failed',
}

const refusalSchema = z.object({
  code: z.enum(RefusalCode),
  reason: z
    .string()
    .transform(text => text.slice(0, LONGEST_REASON_CHARACTERS))
    .default('no reason given'),
});

/** A code is believed under its own status only. */
const STATUSES: Readonly<Record<RefusalCode, readonly number[]>> = {
  [RefusalCode.Busy]: [429, 409],
  [RefusalCode.Leaving]: [503],
  [RefusalCode.Failed]: [500],
};

/** What is known when an exchange brought neither a result nor a lease. */
export function toRefusal(exchange: Exchange): StartOutcome {
  switch (exchange.kind) {
    case ExchangeKind.NotSent:
      return {kind: StartKind.Refused, reason: exchange.reason};
    case ExchangeKind.Lost:
      return {kind: StartKind.Unknown, reason: exchange.reason};
    case ExchangeKind.Aborted:
      return {kind: StartKind.Stopped, sent: exchange.sent};
    case ExchangeKind.Answered:
      return readRefusal(exchange.status, exchange.body, exchange.elapsedMs);
  }
}

function readRefusal(
  status: number,
  body: unknown,
  runMs: Millis,
): StartOutcome {
  const refusal = refusalSchema.safeParse(body).data;
  if (refusal === undefined || !STATUSES[refusal.code].includes(status)) {
    return {kind: StartKind.Unknown, reason: `status ${status}`};
  }
  switch (refusal.code) {
    case RefusalCode.Busy:
      return {kind: StartKind.Busy};
    case RefusalCode.Leaving:
      return {kind: StartKind.Leaving};
    case RefusalCode.Failed:
      return {kind: StartKind.Failed, reason: refusal.reason, runMs};
  }
}
