/** Jobs of the demo: two of one deployment, one of another. */
import type {DemoJob} from './caller.js';

const DEADLINE_MS = 60_000;
const INVOICING_TASKS = 144;
const PRICING_TASKS = 96;
const RELEASE_TASKS = 36;
/** Resources that a release check needs on a worker. */
const RELEASE_RESOURCES = {processors: 8, memoryMb: 4096, accelerators: 0};
const MIN_RUN_MS = 100;
const RUN_STEP_MS = 40;
const RUN_STEPS = 10;

/** Services of the demo's runners. */
export const INVOICING = 'invoicing';
export const PRICING = 'pricing';

/** Lakandula: release checks before vessels sail, on guarded workers. */
export function createReleaseJob(): DemoJob {
  return {
    key: 'release-checks',
    team: 'shipping-agents',
    deadlineMs: DEADLINE_MS,
    tasks: createTasks({worker: RELEASE_RESOURCES}, RELEASE_TASKS, index => ({
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
    tasks: createTasks({service: INVOICING}, INVOICING_TASKS, index => ({
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
    tasks: createTasks({service: PRICING}, PRICING_TASKS, index => ({
      item: goods[index % goods.length],
      tag: index + 1,
    })),
  };
}

function createTasks(
  target: object,
  count: number,
  createEcho: (index: number) => object,
): object[] {
  return Array.from({length: count}, (_, index) => {
    const runMs = MIN_RUN_MS + (index % RUN_STEPS) * RUN_STEP_MS;
    return {
      ...target,
      declaredMs: runMs,
      repeatable: false,
      payload: {runMs, echo: createEcho(index)},
    };
  });
}
