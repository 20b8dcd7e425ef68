/** Test utilities shared by several packages. Not part of a release. */
export * from './snapshots.js';
export * from './tcp_relay.js';
