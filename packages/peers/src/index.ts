/** The protocol between the project's own processes: tRPC router, messages and connections. */
export {};
