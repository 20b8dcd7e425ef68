/** Baseline policies, kept runnable for measurements. */
export * from './choose_direct.js';
export * from './direct_binding.js';
