/** Content of docs/openapi.json. */
export {createOpenApiDocument, operations} from './document.js';
export {Listener, type Operation} from './operation.js';
