/** Runs the key-value stand-in as a process: `--listen host:port`. */
import {parseArgs} from 'node:util';
import {startKeyValue} from './server.js';

const {values} = parseArgs({
  options: {listen: {type: 'string', default: '127.0.0.1:2379'}},
});
const [host = '127.0.0.1', port = '2379'] = values.listen.split(':');
const running = await startKeyValue({host, port: Number(port)});
console.log(`key-value stand-in listening on ${running.address}`);
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.once(signal, () => void running.close());
}
