/**
 * Helpers shared by the HTTP listeners: request bodies with a size limit, JSON
 * and failure responses, route selection and authorization by a shared token.
 */
export * from './body/index.js';
export * from './respond/index.js';
export * from './routes/index.js';
export * from './token/index.js';
