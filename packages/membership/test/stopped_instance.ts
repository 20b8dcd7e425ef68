/**
 * A child process with one instance, which the test pauses and resumes. On each
 * IPC message it reports the state that it derives after the pause.
 */
import {
  Lifecycle,
  readClock,
  silentLogger,
  sleep,
} from '@goldcrestpier/runtime';
import {startInstance} from './fixtures.js';

/** The reply to an IPC message. */
export interface PausedInstanceReply {
  readonly incarnation: string;
  readonly ownerClock: number | undefined;
  readonly pausesDetected: number;
}

const [seed = '', owner = ''] = process.argv.slice(2);
let pausesDetected = 0;
const logger = {
  ...silentLogger,
  warn: (message: string) => {
    if (message === 'this process was paused') pausesDetected += 1;
  },
};
const {membership, incarnation} = await startInstance({
  lifecycle: new Lifecycle('stopped'),
  name: 'stopped',
  seeds: [seed],
  overrides: {logger},
});

/** Long enough for heartbeats to be read first, but within `staleReadMs`. */
const REPLY_DELAY_MS = 150;

process.on('message', () => void replyAfterDelay());

/** Replies as if the query had been read after all other waiting data. */
async function replyAfterDelay(): Promise<void> {
  await sleep(REPLY_DELAY_MS);
  const ownerClock = membership.ownerClock(owner, readClock());
  const answer: PausedInstanceReply = {incarnation, ownerClock, pausesDetected};
  process.send?.(answer);
}

process.on('disconnect', () => process.exit());
