/** The goldcrestpier program: an entry instance between callers and backend servers. */
export {};
