/**
 * Hosts the stand-ins of a JSON plan given as the only argument. Prints one
 * line of JSON once all listen; ends on SIGTERM or when standard input ends.
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
// The launcher is gone, however it ended.
process.stdin.resume().once('close', () => void stop());
