/** `npm run demo`: exits with 0 when everything went as promised. */
import {Lifecycle} from '@goldcrestpier/runtime';
import {runDemo} from '../demo/index.js';

const lifecycle = new Lifecycle('demo');
let isWell = false;
try {
  isWell = await runDemo(lifecycle);
} catch (cause) {
  console.error(String(cause));
}
await lifecycle.close();
console.log(isWell ? '\nall went well' : '\nsomething went wrong');
process.exitCode = isWell ? 0 : 1;
