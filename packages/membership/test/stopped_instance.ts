/**
 * A process with one instance, which its test stops and lets go on. It is
 * asked over its channel what it makes of what it reads just then.
 */
import {
  Lifecycle,
  readClock,
  silentLogger,
  sleep,
} from '@goldcrestpier/runtime';
import {startInstance} from './fixtures.js';

/** What the process answers. */
export interface StoppedAnswer {
  readonly incarnation: string;
  readonly ownerClock: number | undefined;
  readonly stopsNoticed: number;
}

const [seed = '', owner = ''] = process.argv.slice(2);
let stopsNoticed = 0;
const logger = {
  ...silentLogger,
  warn: (message: string) => {
    if (message === 'this process was stopped') stopsNoticed += 1;
  },
};
const {membership, incarnation} = await startInstance({
  lifecycle: new Lifecycle('stopped'),
  name: 'stopped',
  seeds: [seed],
  changes: {logger},
});

/** Long enough for heartbeats to come first, and within the quarantine. */
const LATE_MS = 150;

process.on('message', () => void answerLate());

/** Answers as if the question had been the last of all to be read. */
async function answerLate(): Promise<void> {
  await sleep(LATE_MS);
  const ownerClock = membership.ownerClock(owner, readClock());
  const answer: StoppedAnswer = {incarnation, ownerClock, stopsNoticed};
  process.send?.(answer);
}

process.on('disconnect', () => process.exit());
