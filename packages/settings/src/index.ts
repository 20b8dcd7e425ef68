/** One schema for the process file and the inherited tree of settings, with its checks, defaults and edits. */
export {};
