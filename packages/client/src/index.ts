/** Client library: sessions, attempts, resubmission and Retry-After. */
export {createClient, type Client} from './client/client.js';
export type {
  ClientOptions,
  JobReference,
  JobRequest,
} from './client/options.js';
export type {SubmitOptions} from './submission/submission.js';
