/** Clients for runners and guarded workers. */
export {};
