/** Free capacity in other zones. */
export * from './remote_vacancies.js';
