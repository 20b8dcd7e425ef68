/** Says of a failed call why it failed and whether it may have taken effect. */
import type {Dispatcher} from 'undici';
import {PlatformFailureReason, type PlatformFailure} from '../failure.js';
import {CallEffect, type ServiceCall} from './service_call.js';

const MAX_ERROR_CHARACTERS = 200;
/** The gRPC status code `NOT_FOUND`. */
const GRPC_NOT_FOUND = 5;
/** Client errors of a gateway that gave up on a request after forwarding it. */
const AMBIGUOUS_STATUSES: ReadonlySet<number> = new Set([408, 499]);

/**
 * The failure of a call without a response. `wasSent` tells whether the service
 * may have received it.
 */
export function createConnectionFailure(
  call: ServiceCall,
  wasSent: boolean,
  cause: unknown,
): PlatformFailure {
  const detail = describeCause(cause);
  if (!wasSent) return createUnreachableFailure(call, detail);
  const isWrite = call.effect === CallEffect.Write;
  const isMalformed = cause instanceof SyntaxError;
  const lossReason = isWrite
    ? PlatformFailureReason.OutcomeUnknown
    : PlatformFailureReason.TimedOut;
  return {
    reason: isMalformed ? PlatformFailureReason.Malformed : lossReason,
    call: call.path,
    detail: isMalformed ? 'answer is not JSON' : detail,
    mayHaveTakenEffect: isWrite,
  };
}

/** The failure of a call that no endpoint has received. */
export function createUnreachableFailure(
  call: ServiceCall,
  detail: string,
): PlatformFailure {
  return {
    reason: PlatformFailureReason.Unreachable,
    call: call.path,
    detail,
    mayHaveTakenEffect: false,
  };
}

/** The failure of a call that the service answered with an error. */
export function createErrorResponseFailure(
  call: ServiceCall,
  status: number,
  text: string,
): PlatformFailure {
  const {message, code} = readError(text);
  const isLeaseGone = code === GRPC_NOT_FOUND && message.includes('lease');
  const isOutcomeKnown = status < 500 && !AMBIGUOUS_STATUSES.has(status);
  return {
    reason: isLeaseGone
      ? PlatformFailureReason.LeaseGone
      : PlatformFailureReason.Refused,
    call: call.path,
    detail: `status ${status}: ${message}`,
    mayHaveTakenEffect: call.effect === CallEffect.Write && !isOutcomeKnown,
  };
}

function readError(text: string): {message: string; code: number | undefined} {
  try {
    const {message, code} = JSON.parse(text) as Record<string, unknown>;
    return {
      message: typeof message === 'string' ? message : 'no message',
      code: typeof code === 'number' ? code : undefined,
    };
  } catch {
    return {message: 'no message', code: undefined};
  }
}

/** Reads the start of an error response. */
export async function readErrorText(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const text = await body.text();
  return text.slice(0, MAX_ERROR_CHARACTERS);
}

/** The system's error code, or the error's name; never its text. */
export function describeCause(cause: unknown): string {
  if (!(cause instanceof Error)) return 'unknown cause';
  const {code} = cause as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : cause.name;
}
