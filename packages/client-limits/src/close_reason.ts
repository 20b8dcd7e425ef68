/** Why a limit closes the connection of a client. */
export enum CloseReason {
  Memory = 'memory',
  Descriptors = 'descriptors',
  SlowBody = 'slow_body',
  UnreadResponse = 'unread_response',
  /** The headers of a request did not end in time. */
  LateHeaders = 'late_headers',
}
