/** Holding the workers of a zone. */
export {Holder, type HolderOptions} from './holder.js';
