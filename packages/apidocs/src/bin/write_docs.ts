/** Writes the generated documentation; run by `npm run docs`. */
import {writeGeneratedFiles} from '../files/index.js';

writeGeneratedFiles();
