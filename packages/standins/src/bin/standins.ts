/**
 * Hosts the stand-ins of a JSON plan, which is the only argument. Prints one
 * line of JSON once all of them listen. Exits on SIGTERM, on SIGINT, or when
 * standard input closes.
 */
import {Lifecycle} from '@goldcrestpier/runtime';
import {hostStandins, type HostPlan} from '../host/index.js';

const lifecycle = new Lifecycle('standins');

async function stop(): Promise<void> {
  await lifecycle.close();
  process.exit(0);
}

const plan = JSON.parse(process.argv[2] ?? '{}') as HostPlan;
const standins = await hostStandins(plan, lifecycle);
process.stdout.write(`${JSON.stringify({standins})}\n`);
process.once('SIGTERM', () => void stop());
process.once('SIGINT', () => void stop());
// The parent process has exited, possibly without sending a signal.
process.stdin.resume().once('close', () => void stop());
