/** Holding of backend servers, grants of their slots, and the owner's late binding of tasks to them. */
export {};
