/** What every HTTP listener needs: bounded bodies, failures and the token. */
export * from './body/index.js';
export * from './respond/index.js';
export * from './routes/index.js';
export * from './token/index.js';
