// The part of undici that the bundled program uses. The package's own entry
// also loads fetch, caches, mocks and HTTP/2, which each start would pay for.
const Agent = require('undici/lib/dispatcher/agent.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {Agent};
