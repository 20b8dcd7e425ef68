// Placeholder until the first model lands: there is nothing to check yet.
console.log('spec: no model yet');
