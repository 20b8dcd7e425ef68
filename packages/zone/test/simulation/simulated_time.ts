/** Replaces Node's timers and clocks by simulated ones. */
import {test} from 'node:test';
import {Phase, Scheduler, type ScheduledEvent} from './scheduler.js';

/** Time at which every simulation begins, Unix time in ms. */
export const SIMULATION_START_MS = Date.UTC(2026, 0, 5);

const realSetImmediate = globalThis.setImmediate;

/** Runs all pending promise callbacks. */
export function drainPromises(): Promise<void> {
  return new Promise(resolve => {
    realSetImmediate(resolve);
  });
}

/** Runs `body` on simulated time, and restores the globals afterwards. */
export async function withSimulatedTime(
  scheduler: Scheduler,
  random: () => number,
  body: () => Promise<void>,
): Promise<void> {
  const names = [
    'setTimeout',
    'clearTimeout',
    'setInterval',
    'clearInterval',
    'setImmediate',
    'clearImmediate',
  ] as const;
  const savedTimers = names.map(name => [name, globalThis[name]] as const);
  const {random: savedRandom} = Math;
  const savedDateNow = Object.getOwnPropertyDescriptor(Date, 'now');
  const savedPerformanceNow = Object.getOwnPropertyDescriptor(
    performance,
    'now',
  );
  Object.assign(globalThis, createTimers(scheduler));
  Date.now = () => SIMULATION_START_MS + Math.floor(scheduler.now);
  Math.random = random;
  const value = () =>
    scheduler.now - (scheduler.currentProcess?.clockZero ?? 0);
  Object.defineProperty(performance, 'now', {value, configurable: true});
  try {
    await body();
  } finally {
    Object.assign(globalThis, Object.fromEntries(savedTimers));
    if (savedDateNow !== undefined)
      Object.defineProperty(Date, 'now', savedDateNow);
    Math.random = savedRandom;
    if (savedPerformanceNow === undefined)
      Reflect.deleteProperty(performance, 'now');
    else Object.defineProperty(performance, 'now', savedPerformanceNow);
  }
}

/** Simulated time at which a test begins, and that it takes at most, in ms. */
const TEST_START_MS = 1_000;
const MAX_TEST_MS = 60_000;

/**
 * Defines a test that runs in simulated time: time passes only while all code
 * waits for it, however slow the machine is.
 */
export function testInSimulatedTime(
  name: string,
  body: () => void | Promise<void>,
): void {
  void test(name, () => {
    const scheduler = new Scheduler();
    scheduler.now = TEST_START_MS;
    return withSimulatedTime(scheduler, Math.random, () =>
      runToEnd(scheduler, body),
    );
  });
}

async function runToEnd(
  scheduler: Scheduler,
  body: () => void | Promise<void>,
): Promise<void> {
  let end: PromiseSettledResult<void> | undefined;
  void Promise.allSettled([Promise.resolve().then(body)]).then(([result]) => {
    end = result;
  });
  await drainPromises();
  while (end === undefined) {
    if (scheduler.nextEventAt > TEST_START_MS + MAX_TEST_MS)
      throw new Error(`the test has not ended at ${scheduler.now} ms`);
    await scheduler.runNext(drainPromises);
  }
  if (end.status === 'rejected') throw end.reason;
}

function createTimers(scheduler: Scheduler) {
  const addEvent = (
    ms: number,
    phase: Phase,
    run: () => void,
  ): ScheduledEvent =>
    scheduler.schedule(
      scheduler.now + ms,
      phase,
      scheduler.currentProcess,
      run,
    );
  const cancel = (event: ScheduledEvent | undefined) => {
    if (event !== undefined) event.isCancelled = true;
  };
  const setInterval = (run: () => void, ms: number) => {
    const handle = {isCancelled: false};
    const repeat = () => {
      if (handle.isCancelled) return;
      run();
      addEvent(ms, Phase.Timers, repeat);
    };
    addEvent(ms, Phase.Timers, repeat);
    return handle;
  };
  return {
    setInterval,
    setTimeout: (run: () => void, ms = 1) =>
      addEvent(Math.max(ms, 1), Phase.Timers, run),
    setImmediate: (run: () => void) => addEvent(0, Phase.Immediates, run),
    clearTimeout: cancel,
    clearInterval: cancel,
    clearImmediate: cancel,
  };
}
