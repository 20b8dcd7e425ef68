/** The complete failure catalogue. */
import type {FailureCode} from './codes.js';
import type {FailureEntries} from './catalogue_entry.js';
import {outcomes} from './outcomes.js';
import {refusals} from './refusals.js';

export type {FailureEntry} from './catalogue_entry.js';

/** Title, status, message and hint of every failure code. */
export const failureCatalogue: FailureEntries<FailureCode> = {
  ...refusals,
  ...outcomes,
};
