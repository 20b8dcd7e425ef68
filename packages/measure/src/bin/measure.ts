/** `npm run measure`: load over real processes, compared with ideals. */
import {writeFileSync} from 'node:fs';
import {Lifecycle} from '@goldcrestpier/runtime';
import sade from 'sade';
import {
  measureFleet,
  measureIdle,
  measureOverload,
  measureResponses,
  measureStarts,
  readOptions,
  type MeasureOptions,
} from '../modes/index.js';

type Mode = (options: MeasureOptions, lifecycle: Lifecycle) => Promise<object>;

const MODES: Readonly<Record<string, Mode>> = {
  response: measureResponses,
  overload: measureOverload,
  starts: measureStarts,
  idle: measureIdle,
  fleet: measureFleet,
};

sade('measure', true)
  .option('--mode', `One of ${Object.keys(MODES).join(', ')}`, 'response')
  .option('--profile', 'Whose load: lakandula or ragusane', 'lakandula')
  .option('--load', 'Share of the capacity', 0.7)
  .option('--seed', 'Seed of the load', 1)
  .option('--seconds', 'Length of one round', 10)
  .option('--rounds', 'Rounds of each policy', 2)
  .option('--policy', 'Policy of placement', 'holding')
  .option('--versus', 'A second policy, measured in turn with the first')
  .option('--faults', 'Slow and failing servers, a kill, a cut zone', false)
  .option('--relays', 'Delays between zones and to clients', true)
  .option('--waves', 'Waves of cancellations', true)
  .option('--delay', 'One-way delay between zones, in ms', 0.5)
  .option('--entries', 'Entry instances; several for the mode idle', 8)
  .option('--runners', 'Runners; several for the mode idle', 30)
  .option('--zones', 'Zones of the mode fleet', 3)
  .option('--jobs', 'Jobs a second of the mode fleet', 0)
  .option('--profiled', 'Divide the processor time of the mode fleet', false)
  .option('--program', 'Bundle that the mode fleet runs, of another commit')
  .option('--flags', 'Further arguments for Node.js in the mode fleet')
  .option('--json', 'File for the figures')
  .action(run)
  .parse(process.argv);

async function run(raw: Record<string, unknown>): Promise<void> {
  const lifecycle = new Lifecycle('measure');
  try {
    const mode = MODES[String(raw['mode'])];
    if (mode === undefined) throw new Error('--mode: unknown');
    const result = await mode(readOptions(raw), lifecycle);
    const text = JSON.stringify({options: raw, ...result}, undefined, 2);
    const file = raw['json'];
    if (typeof file === 'string') writeFileSync(file, text);
  } catch (cause) {
    console.error(String(cause));
    process.exitCode = 1;
  }
  await lifecycle.close();
}
