/** A call to the key-value service. */

/** Whether a call is safe to repeat (`Read`) or not (`Write`). */
export enum CallEffect {
  Read = 'read',
  Write = 'write',
}

/** One call to the service. */
export interface ServiceCall {
  /** The path below `/v3/`. */
  readonly path: string;
  readonly effect: CallEffect;
  readonly body: object;
}
