/** Selection of the workers on which tasks run. */
export * from './worth.js';
export * from './fit.js';
export * from './list_places.js';
export * from './place.js';
export * from './plan_step.js';
export * from './upcoming_vacancies.js';
