/** Fair queues, admission control, drain rates and retry budgets. */
export * from './admission/index.js';
export * from './budgets/index.js';
export * from './heap/index.js';
export * from './queue/index.js';
export * from './rates/index.js';
