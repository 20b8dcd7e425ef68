// The parts of node:assert that the bundled libraries use. The module itself
// also loads deep comparison and coloured output, which would slow down each
// start.
class AssertionError extends Error {
  code = 'ERR_ASSERTION';
  name = 'AssertionError';
}

function fail(message) {
  if (message instanceof Error) throw message;
  throw new AssertionError(message ?? 'assertion failed');
}

function assert(value, message) {
  if (!value) fail(message);
}

function equal(actual, expected, message) {
  if (actual != expected) fail(message ?? `${actual} != ${expected}`);
}

module.exports = Object.assign(assert, {
  AssertionError,
  equal,
  fail,
  ok: assert,
});
