/**
 * `soak --seed N --minutes M`: runs soak tests one after the other for M
 * minutes.
 */
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
const firstSeed = Number(values.seed);
const endAt = readClock() + Number(values.minutes) * MS_PER_MINUTE;
const log = (line: string) => console.log(line);

let violations = 0;
for (let seed = firstSeed; readClock() < endAt; seed += ROUNDS) {
  const result = await runSoak({seed, rounds: ROUNDS, report: log});
  violations += result.violations.length;
  console.log(JSON.stringify(result));
}
console.log(`violations: ${violations}`);
process.exitCode = violations > 0 ? 1 : 0;
