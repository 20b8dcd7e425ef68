import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {failureCatalogue, FailureCode} from '@goldcrestpier/protocol';
import {createGeneratedFiles, operations} from '../src/index.js';

const STATUS_WITHIN_JOB_ANSWER = 200;

test('the generated pages are up to date (if not, run "npm run docs")', () => {
  for (const {path, content} of createGeneratedFiles()) {
    assert.equal(readFileSync(path, 'utf8'), content, path);
  }
});

test('every failure with an error status is described by an operation', () => {
  const describedCodes = new Set(operations.flatMap(({failures}) => failures));
  const missing = Object.values(FailureCode).filter(
    code =>
      failureCatalogue[code].status !== STATUS_WITHIN_JOB_ANSWER &&
      !describedCodes.has(code),
  );
  assert.deepEqual(missing, []);
});

test('no operation has two responses with the same status', () => {
  for (const {id, responses, failures} of operations) {
    const statuses = responses.map(({status}) => status);
    const failureStatuses = failures.map(code => failureCatalogue[code].status);
    assert.equal(new Set(statuses).size, statuses.length, id);
    const shared = statuses.filter(status => failureStatuses.includes(status));
    assert.deepEqual(shared, [], id);
  }
});
