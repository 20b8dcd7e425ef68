/** An error answer of the service, with its gRPC code. */
export class ServiceError extends Error {
  constructor(
    readonly status: number,
    readonly code: number,
    message: string,
  ) {
    super(message);
  }
}

/** The request cannot be understood or breaks a limit. */
export function createInvalidArgument(reason: string): ServiceError {
  return new ServiceError(400, 3, `etcdserver: ${reason}`);
}

/** The named lease does not exist. */
export function createLeaseNotFound(): ServiceError {
  return new ServiceError(404, 5, 'etcdserver: requested lease not found');
}

/** The wanted revision was compacted away or has not come yet. */
export function createOutOfRange(reason: string): ServiceError {
  return new ServiceError(400, 11, `etcdserver: mvcc: ${reason}`);
}
