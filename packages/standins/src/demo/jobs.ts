/** The demo's jobs, one of each deployment. */
import type {DemoJob} from './caller.js';

const DEADLINE_MS = 60_000;
const INVOICES = 48;
const PRICES = 36;
const SHORTEST_RUN_MS = 100;
const RUN_STEP_MS = 40;
const RUN_STEPS = 10;

/** Services that the demo's runners serve. */
export const INVOICING = 'invoicing';
export const PRICING = 'pricing';

/** Lakandula: throughput quotes for the product moved through its tanks. */
export function createInvoicingJob(): DemoJob {
  return {
    key: 'throughput-quotes',
    team: 'terminal-clerks',
    deadlineMs: DEADLINE_MS,
    tasks: createTasks(INVOICING, INVOICES, index => ({
      tank: `T-${index + 1}`,
      barrels: 1_000 + index * 25,
    })),
  };
}

/** Soluzioni Ragusane: price tags for donated goods. */
export function createPricingJob(): DemoJob {
  const goods = ['coat', 'lamp', 'book', 'plate'];
  return {
    key: 'batch-relabel',
    team: 'shop-modica',
    deadlineMs: DEADLINE_MS,
    tasks: createTasks(PRICING, PRICES, index => ({
      item: goods[index % goods.length],
      tag: index + 1,
    })),
  };
}

function createTasks(
  service: string,
  length: number,
  describe: (index: number) => object,
): object[] {
  return Array.from({length}, (_, index) => {
    const runMs = SHORTEST_RUN_MS + (index % RUN_STEPS) * RUN_STEP_MS;
    return {
      service,
      declaredMs: runMs,
      repeatable: false,
      payload: {runMs, echo: describe(index)},
    };
  });
}
