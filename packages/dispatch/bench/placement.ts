/**
 * Prints the processor time of one zone's holder per started task, for 82
 * workers, a third of 245, and 200 jobs a second, a third of 600.
 */
import {Dispatcher} from '../src/index.js';
import {simulateLoad} from '../test/fixtures/simulated_load.js';
import {createUnevenSizes} from '../test/fixtures/uneven_sizes.js';

const REPEATS = 3;
const LENGTH_MS = 3_000;
const WORKERS = 82;

interface Measured {
  busyMs: number;
  starts: number;
}

const measured: Measured = {busyMs: 0, starts: 0};

/** Adds the time of each call of the dispatcher's ticks to what is measured. */
function measureTicks(): void {
  const tick = Object.getOwnPropertyDescriptor(Dispatcher.prototype, 'tick');
  const original = tick?.value as Dispatcher['tick'];
  Dispatcher.prototype.tick = function (now) {
    const begin = performance.now();
    const commands = original.call(this, now);
    measured.busyMs += performance.now() - begin;
    for (const {kind} of commands) if (kind === 'start') measured.starts += 1;
    return commands;
  };
}

function measure(busyShare: number, isEven: boolean): number {
  measured.busyMs = 0;
  measured.starts = 0;
  const tasks = isEven ? {maxCpuMillis: 8_000, medianCpuMillis: 80_000} : {};
  const size = {workers: WORKERS, lengthMs: LENGTH_MS};
  simulateLoad(createUnevenSizes({seed: 1, busyShare, tasks, ...size}));
  return (1_000 * measured.busyMs) / measured.starts;
}

measureTicks();
for (const isEven of [true, false]) {
  for (const busyShare of [0.6, 0.83, 1.1]) {
    const times = Array.from({length: REPEATS}, () =>
      measure(busyShare, isEven),
    ).sort((a, b) => a - b);
    const shown = times.map(time => time.toFixed(1)).join(' ');
    const sizes = isEven ? 'equal' : 'unequal';
    console.log(`${sizes} sizes, load ${busyShare}: ${shown} µs per start`);
  }
}
