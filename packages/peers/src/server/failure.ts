/** Turns what a call was refused with into the typed failure that travels. */
import {
  createFailure,
  FailureCode,
  toProblems,
  type Failure,
} from '@goldcrestpier/protocol';
import {TRPCError} from '@trpc/server';
import {ZodError} from 'zod';

/** Carries a failure through tRPC's own errors. */
export class RefusedCallError extends Error {
  constructor(readonly failure: Failure) {
    super(failure.message);
  }
}

/** The failure that the peer is told for an error of one call. */
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
