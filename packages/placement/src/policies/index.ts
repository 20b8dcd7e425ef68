/** Baseline policies, kept available for benchmarks. */
export * from './choose_direct.js';
export * from './direct_binding.js';
