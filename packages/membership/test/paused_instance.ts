/**
 * A child process with one instance, which a test pauses and resumes. To each
 * IPC message it replies with the state that it has after the pause.
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
  lifecycle: new Lifecycle('paused'),
  name: 'paused',
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
