/** Puts simulated timers and clocks in place of Node's while a play goes on. */
import {Phase, type Event, type Scheduler} from './scheduler.js';

/** Time of day at which every play begins, Unix time in ms. */
export const PLAY_BEGINS_AT = Date.UTC(2026, 0, 5);

const realSetImmediate = globalThis.setImmediate;

/** Lets promises do all that they can do now. */
export function drainPromises(): Promise<void> {
  return new Promise(resolve => {
    realSetImmediate(resolve);
  });
}

/** Runs `body` on simulated time; puts everything back behind it. */
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
  const kept = names.map(name => [name, globalThis[name]] as const);
  const {random: keptRandom} = Math;
  const keptDate = Object.getOwnPropertyDescriptor(Date, 'now');
  const keptClock = Object.getOwnPropertyDescriptor(performance, 'now');
  Object.assign(globalThis, createTimers(scheduler));
  Date.now = () => PLAY_BEGINS_AT + Math.floor(scheduler.now);
  Math.random = random;
  const value = () => scheduler.now - (scheduler.current?.clockZero ?? 0);
  Object.defineProperty(performance, 'now', {value, configurable: true});
  try {
    await body();
  } finally {
    Object.assign(globalThis, Object.fromEntries(kept));
    if (keptDate !== undefined) Object.defineProperty(Date, 'now', keptDate);
    Math.random = keptRandom;
    if (keptClock === undefined) Reflect.deleteProperty(performance, 'now');
    else Object.defineProperty(performance, 'now', keptClock);
  }
}

function createTimers(scheduler: Scheduler) {
  const add = (ms: number, phase: Phase, run: () => void): Event =>
    scheduler.schedule(scheduler.now + ms, phase, scheduler.current, run);
  const cancel = (event: Event | undefined) => {
    if (event !== undefined) event.isCancelled = true;
  };
  const setInterval = (run: () => void, ms: number) => {
    const handle = {isCancelled: false};
    const repeat = () => {
      if (handle.isCancelled) return;
      run();
      add(ms, Phase.Timers, repeat);
    };
    add(ms, Phase.Timers, repeat);
    return handle;
  };
  return {
    setInterval,
    setTimeout: (run: () => void, ms = 1) =>
      add(Math.max(ms, 1), Phase.Timers, run),
    setImmediate: (run: () => void) => add(0, Phase.Immediates, run),
    clearTimeout: cancel,
    clearInterval: cancel,
    clearImmediate: cancel,
  };
}
