// Checks each model in spec/ exhaustively, then once for each flag that removes
// a mechanism: every such variant must have a counterexample.
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const DEPTH = '1000000';
const LONGEST_RUN_MS = 240_000;
const HASH_BITS = '24';

const models = [
  {
    file: 'submission.pml',
    variants: [
      'REFUSAL_LEAVES_OPEN',
      'RESUBMISSION_IS_NEW',
      'PARTIAL_IS_COMPLETE',
      'OTHERS_TAKE_OVER',
      'OTHERS_SAY_NOT_RUN',
      'UNKNOWN_IS_RETRIED',
      'CANCELLED_IS_NOT_RUN',
      'ALL_IS_HEDGED',
      'GRANTS_IGNORE_LEAVING',
      'STOP_DOES_NOT_WAIT',
      'NOTHING_IS_HANDED_OVER',
    ],
  },
  {
    file: 'no_attempt.pml',
    variants: [
      'COPIES_HAVE_NO_AGE',
      'RETRY_AFTER_IS_SHORT',
      'STOPPED_RELAY_COUNTS_FROM_READING',
      'REFUSAL_WHILE_CLOSED_IS_FREE',
      'COPIES_ARE_RECEIVED_AFTER_THE_ANSWER',
    ],
  },
  {
    file: 'claims.pml',
    variants: [
      'OWN_SESSION_WITHOUT_CLAIM',
      'LOST_ANSWER_IS_NOT_CLAIMED',
      'CLAIM_OF_A_LOST_OWNER_IS_TAKEN_OVER',
      'UNCLAIMED_IS_NOT_RUN',
      'LEAVING_IS_NOT_RUN',
    ],
  },
  {
    file: 'settings.pml',
    variants: [
      'NOTHING_IS_COMPARED',
      'RETRY_WITHOUT_EDIT_ID',
      'WHATEVER_COMES_IS_APPLIED',
    ],
  },
  {
    file: 'grants.pml',
    variants: ['UNKNOWN_IS_PLACED_AGAIN', 'BUSY_IS_QUEUED'],
  },
];

function runProgram(program, words, folder) {
  return execFileSync(program, words, {
    cwd: folder,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
    timeout: LONGEST_RUN_MS,
  });
}

function check(model, flags, folder) {
  const defines = flags.map(flag => `-D${flag}`);
  runProgram('spin', [...defines, '-a', model], folder);
  // A breadth-first search finds the shortest counterexample.
  const search = flags.length > 0 ? ['-DBFS'] : ['-DCOLLAPSE'];
  const compiler = ['-w', '-O1', '-DSAFETY', ...search, '-o', 'pan'];
  runProgram('gcc', [...compiler, 'pan.c'], folder);
  const words = [`-m${DEPTH}`, `-w${HASH_BITS}`];
  const output = runProgram('./pan', words, folder);
  const errors = Number(/errors: (\d+)/.exec(output)?.[1] ?? NaN);
  const states = /([\d.e+]+) states, stored/.exec(output)?.[1] ?? 'no';
  const assertion = /assertion violated (.*) \(at depth (\d+)\)/.exec(output);
  const cut = /max search depth too small|out of memory/.test(output);
  return {errors, states, assertion, cut};
}

function describe(result) {
  const {assertion} = result;
  if (assertion === null) return `${result.states} states`;
  return `counterexample of ${assertion[2]} steps against ${assertion[1]}`;
}

let failures = 0;
const folder = mkdtempSync(join(tmpdir(), 'goldcrestpier-spec-'));
for (const {file, variants} of models) {
  copyFileSync(resolve('spec', file), join(folder, file));
  const whole = check(file, [], folder);
  const holds = whole.errors === 0 && !whole.cut;
  if (!holds) failures += 1;
  console.log(`${holds ? 'holds' : 'FAILS'}: ${file}, ${describe(whole)}`);
  for (const variant of variants) {
    const result = check(file, [variant], folder);
    const broken = result.errors > 0 && result.assertion !== null;
    if (!broken) failures += 1;
    const verdict = broken ? 'broken without' : 'NOT BROKEN without';
    console.log(`${verdict}: ${file} -D${variant}, ${describe(result)}`);
  }
}
rmSync(folder, {recursive: true, force: true});
console.log(`spec: ${failures} failed`);
process.exitCode = failures > 0 ? 1 : 0;
