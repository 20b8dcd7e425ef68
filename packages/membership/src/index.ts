/** Which instances are live: heartbeats, the instance list, rendezvous hashing. */
export {};
