/** Bounded fair queues, quotas, admission and retry budgets. */
export {};
