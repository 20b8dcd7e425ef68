/** What tests of several packages share; never shipped. */
export * from './snapshots.js';
export * from './tcp_relay.js';
