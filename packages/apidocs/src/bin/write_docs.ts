/** Writes the generated pages; run by `npm run docs`. */
import {writeGeneratedFiles} from '../files/index.js';

writeGeneratedFiles();
