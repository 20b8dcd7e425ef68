/** `npm run demo`: exits with 0 if the demo succeeded. */
import {Lifecycle} from '@goldcrestpier/runtime';
import {runDemo} from '../demo/index.js';

const lifecycle = new Lifecycle('demo');
let isSuccessful = false;
try {
  isSuccessful = await runDemo(lifecycle);
} catch (cause) {
  console.error(String(cause));
}
await lifecycle.close();
console.log(isSuccessful ? '\ndemo succeeded' : '\ndemo failed');
process.exitCode = isSuccessful ? 0 : 1;
