/** `npm run measure`: runs one mode of the measuring tool. */
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
  .option('--profile', 'Load profile: lakandula or ragusane', 'lakandula')
  .option('--load', 'Load as a share of the capacity', 0.7)
  .option('--seed', 'Seed for the load', 1)
  .option('--seconds', 'Length of a round in seconds', 10)
  .option('--rounds', 'Rounds of each policy', 2)
  .option('--policy', 'Placement policy', 'holding')
  .option('--versus', 'Second policy, measured in turn with the first')
  .option(
    '--faults',
    'Inject slow and failing servers, a killed instance and a partitioned zone',
    false,
  )
  .option('--relays', 'Delay traffic between zones and to clients', true)
  .option('--waves', 'Cancel jobs in waves', true)
  .option('--delay', 'One-way delay between zones, in ms', 0.5)
  .option(
    '--entries',
    'Entry instances; a list in mode idle, per zone in mode fleet',
    8,
  )
  .option(
    '--runners',
    'Runners; a list in mode idle, per zone in mode fleet',
    30,
  )
  .option('--zones', 'Zones in mode fleet', 3)
  .option('--jobs', 'Jobs per second in mode fleet', 0)
  .option(
    '--profiled',
    'Show processor time by kind of work in mode fleet',
    false,
  )
  .option(
    '--program',
    'Bundle to run in mode fleet, such as one of another commit',
  )
  .option('--flags', 'Additional Node.js arguments in mode fleet')
  .option('--json', 'File to write the results to')
  .action(run)
  .parse(process.argv);

async function run(raw: Record<string, unknown>): Promise<void> {
  const lifecycle = new Lifecycle('measure');
  try {
    const mode = MODES[String(raw['mode'])];
    if (mode === undefined) throw new Error('--mode: unknown mode');
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
