/** `soak --seed N --minutes M`: soaks one after the other, until time is up. */
import {parseArgs} from 'node:util';
import {readClock} from '@goldcrestpier/runtime';
import {runSoak} from '../soak/index.js';

const ROUNDS = 3;
const MS_PER_MINUTE = 60_000;

const {values} = parseArgs({
  options: {
    seed: {type: 'string', default: '1'},
    minutes: {type: 'string', default: '5'},
  },
});
const first = Number(values.seed);
const endAt = readClock() + Number(values.minutes) * MS_PER_MINUTE;
const report = (line: string) => console.log(line);

let violations = 0;
for (let seed = first; readClock() < endAt; seed += ROUNDS) {
  const result = await runSoak({seed, rounds: ROUNDS, report});
  violations += result.violations.length;
  console.log(JSON.stringify(result));
}
console.log(`violations: ${violations}`);
process.exitCode = violations > 0 ? 1 : 0;
