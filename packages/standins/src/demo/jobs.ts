/** The demo's jobs: two of one deployment, one of the other. */
import type {DemoJob} from './caller.js';

const DEADLINE_MS = 60_000;
const INVOICES = 144;
const PRICES = 96;
const RELEASES = 36;
/** What a release check needs of a worker. */
const NEEDS = {processors: 8, memoryMb: 4096, accelerators: 0};
const SHORTEST_RUN_MS = 100;
const RUN_STEP_MS = 40;
const RUN_STEPS = 10;

/** Services that the demo's runners serve. */
export const INVOICING = 'invoicing';
export const PRICING = 'pricing';

/** Lakandula: release checks before vessels sail, on guarded workers. */
export function createReleaseJob(): DemoJob {
  return {
    key: 'release-checks',
    team: 'shipping-agents',
    deadlineMs: DEADLINE_MS,
    tasks: createTasks({worker: NEEDS}, RELEASES, index => ({
      vessel: `V-${index + 1}`,
    })),
  };
}

/** Lakandula: throughput quotes for the product moved through its tanks. */
export function createInvoicingJob(): DemoJob {
  return {
    key: 'throughput-quotes',
    team: 'terminal-clerks',
    deadlineMs: DEADLINE_MS,
    tasks: createTasks({service: INVOICING}, INVOICES, index => ({
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
    tasks: createTasks({service: PRICING}, PRICES, index => ({
      item: goods[index % goods.length],
      tag: index + 1,
    })),
  };
}

function createTasks(
  target: object,
  length: number,
  describe: (index: number) => object,
): object[] {
  return Array.from({length}, (_, index) => {
    const runMs = SHORTEST_RUN_MS + (index % RUN_STEPS) * RUN_STEP_MS;
    return {
      ...target,
      declaredMs: runMs,
      repeatable: false,
      payload: {runMs, echo: describe(index)},
    };
  });
}
