/** The holder's side: held servers and the grants of their slots. */
export {Holding, type HoldingParts} from './holding.js';
