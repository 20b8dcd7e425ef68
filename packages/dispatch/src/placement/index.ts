/** Which worker runs a task. */
export * from './chance.js';
export * from './fit.js';
export * from './list_places.js';
export * from './place.js';
export * from './plan_step.js';
export * from './prospects.js';
