import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {failureCatalogue, FailureCode} from '@goldcrestpier/protocol';
import {createGeneratedFiles, operations} from '../src/index.js';

const STATUS_INSIDE_ANSWERS = 200;

test('the generated pages are up to date; else run "npm run docs"', () => {
  for (const {path, content} of createGeneratedFiles()) {
    assert.equal(readFileSync(path, 'utf8'), content, path);
  }
});

test('every failure that is an answer of its own is described at a call', () => {
  const described = new Set(operations.flatMap(({failures}) => failures));
  const missing = Object.values(FailureCode).filter(
    code =>
      failureCatalogue[code].status !== STATUS_INSIDE_ANSWERS &&
      !described.has(code),
  );
  assert.deepEqual(missing, []);
});

test('no call has two answers of the same status', () => {
  for (const {id, answers, failures} of operations) {
    const statuses = answers.map(({status}) => status);
    const failing = failures.map(code => failureCatalogue[code].status);
    assert.equal(new Set(statuses).size, statuses.length, id);
    const both = statuses.filter(status => failing.includes(status));
    assert.deepEqual(both, [], id);
  }
});
