/** The measuring tool: a seeded load over real processes, compared with an ideal. */
export {};
