// The parts of undici that the bundled program uses. The package's entry point
// also loads fetch, caches, mocks and HTTP/2, which would slow down each start.
const Agent = require('undici/lib/dispatcher/agent.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {Agent};
