/** Converts the errors of calls to the typed failures sent to peers. */
import {
  createFailure,
  FailureCode,
  toProblems,
  type Failure,
} from '@goldcrestpier/protocol';
import {TRPCError} from '@trpc/server';
import {ZodError} from 'zod';

/** Carries a typed failure through tRPC's errors. */
export class RefusedCallError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}

/** Returns the failure to send to the peer for the error of one call. */
export function toFailure(error: TRPCError, input: unknown): Failure {
  const {cause} = error;
  if (cause instanceof RefusedCallError) return cause.failure;
  if (cause instanceof ZodError) {
    return createFailure(FailureCode.InvalidRequest, {
      problems: toProblems(cause, input),
    });
  }
  switch (error.code) {
    case 'PARSE_ERROR':
      return createFailure(FailureCode.InvalidJson, {
        reason: 'expected one call',
      });
    case 'NOT_FOUND':
      return createFailure(FailureCode.NotFound, {what: 'call'});
    case 'METHOD_NOT_SUPPORTED':
    case 'BAD_REQUEST':
    case 'UNPROCESSABLE_CONTENT':
      return createFailure(FailureCode.InvalidRequest, {problems: []});
    default:
      return createFailure(FailureCode.InternalFault, {part: 'peers'});
  }
}
