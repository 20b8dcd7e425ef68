/** The modes of the measuring tool. */
export {measureFleet} from './fleet.js';
export {measureIdle} from './idle.js';
export {readOptions, type MeasureOptions} from './options.js';
export {measureOverload} from './overload.js';
export {measureResponses} from './response.js';
export {measureStarts} from './starts.js';
