/** Selection of the workers on which tasks run. */
export * from './worth.js';
export * from './fit.js';
export * from './list_places.js';
export * from './place.js';
export * from './plan_step.js';
export * from './capacity_forecast.js';
export * from './resource_profile.js';
export * from './waiting_sizes.js';
