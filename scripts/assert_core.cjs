// The part of Node's assert that the bundled libraries use. The module itself
// loads colours and with them the streams of the terminal at each start.
const {format} = require('node:util');

function assert(value, message) {
  if (value) return;
  throw message instanceof Error
    ? message
    : new Error(message ?? format('assertion failed: %o', value));
}

module.exports = Object.assign(assert, {
  ok: assert,
  equal: (one, other, message) => assert(one == other, message),
  strictEqual: (one, other, message) => assert(one === other, message),
  fail: message => assert(false, message),
});
