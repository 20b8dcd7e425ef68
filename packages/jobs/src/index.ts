/** Sessions, jobs, attempts and answers, as their owner keeps them. */
export {};
