/** Error response of the service: HTTP status, gRPC code and message. */
export class ServiceError extends Error {
  constructor(
    readonly status: number,
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

/** The request is invalid or exceeds a limit. */
export function createInvalidArgument(reason: string): ServiceError {
  return new ServiceError(400, 3, `etcdserver: ${reason}`);
}

/** The lease of the request does not exist. */
export function createLeaseNotFound(): ServiceError {
  return new ServiceError(404, 5, 'etcdserver: requested lease not found');
}

/** The requested revision has been compacted or is in the future. */
export function createOutOfRange(reason: string): ServiceError {
  return new ServiceError(400, 11, `etcdserver: mvcc: ${reason}`);
}
