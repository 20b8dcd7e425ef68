/** Validates error responses of backend servers and maps them to outcomes. */
import type {Millis} from '@goldcrestpier/runtime';
import {z} from 'zod';
import {ExchangeKind, type Exchange} from './exchange/index.js';
import {StartKind, type StartOutcome} from './start_outcome.js';

const MAX_REASON_CHARACTERS = 500;

enum ErrorCode {
  Busy = 'busy',
  Leaving = 'leaving',
  Failed = 'failed',
}

const errorBodySchema = z.object({
  code: z.enum(ErrorCode),
  reason: z
    .string()
    .transform(text => text.slice(0, MAX_REASON_CHARACTERS))
    .default('no reason given'),
});

/** HTTP statuses with which each code is valid; others prove nothing. */
const STATUSES_BY_CODE: Readonly<Record<ErrorCode, readonly number[]>> = {
  [ErrorCode.Busy]: [429, 409],
  [ErrorCode.Leaving]: [503],
  [ErrorCode.Failed]: [500],
};

/** Maps an exchange that returned no result and no lease to an outcome. */
export function toErrorOutcome(exchange: Exchange): StartOutcome {
  switch (exchange.kind) {
    case ExchangeKind.NotSent:
      return {kind: StartKind.Refused, reason: exchange.reason};
    case ExchangeKind.Lost:
      return {kind: StartKind.Unknown, reason: exchange.reason};
    case ExchangeKind.Aborted:
      return {kind: StartKind.Stopped, sent: exchange.sent};
    case ExchangeKind.Completed:
      return readErrorResponse(
        exchange.status,
        exchange.body,
        exchange.elapsedMs,
      );
  }
}

function readErrorResponse(
  status: number,
  body: unknown,
  runMs: Millis,
): StartOutcome {
  const errorBody = errorBodySchema.safeParse(body).data;
  if (
    errorBody === undefined ||
    !STATUSES_BY_CODE[errorBody.code].includes(status)
  ) {
    return {
      kind: StartKind.Unknown,
      reason: `unexpected response with status ${status}`,
    };
  }
  switch (errorBody.code) {
    case ErrorCode.Busy:
      return {kind: StartKind.Busy};
    case ErrorCode.Leaving:
      return {kind: StartKind.Leaving};
    case ErrorCode.Failed:
      return {kind: StartKind.Failed, reason: errorBody.reason, runMs};
  }
}
