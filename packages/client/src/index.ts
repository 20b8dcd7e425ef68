/** The callers' library: sessions, attempts, resubmission and Retry-After. */
export {};
