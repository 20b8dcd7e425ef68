/** Commands that list instances and backend servers or drain an instance. */
import {
  drainAnswerSchema,
  fleetInstancesSchema,
  fleetServersSchema,
} from '@goldcrestpier/operators';
import type {OperatorsClient} from '../calls/index.js';
import {renderTable} from '../output/index.js';
import type {CommandResult} from './command.js';

/** Command `instances`. */
export async function listInstances(client: OperatorsClient): CommandResult {
  const response = await client.call('GET', 'instances', fleetInstancesSchema);
  return response.map(data => ({
    data,
    text: renderTable(
      ['INSTANCE', 'STATE', 'PEERS AT', 'WEIGHT', 'SETTINGS', 'OPEN JOBS'],
      data.instances.map(instance => [
        instance.incarnation,
        instance.state,
        instance.peerAddress,
        String(instance.weight),
        String(instance.settingsRevision),
        instance.reached ? String(instance.openJobs) : 'not reached',
      ]),
    ),
    unreached: data.instances
      .filter(({reached}) => !reached)
      .map(({incarnation}) => incarnation),
  }));
}

/** Command `servers`. */
export async function listServers(client: OperatorsClient): CommandResult {
  const response = await client.call('GET', 'servers', fleetServersSchema);
  return response.map(data => ({
    data,
    text: renderTable(
      ['SERVER', 'ZONE', 'POOL', 'STATE', 'IN USE', 'SPEED', 'HOLDER'],
      data.servers.map(server => [
        server.server,
        server.zone,
        server.pool,
        server.state,
        `${server.inUse}/${server.slots}`,
        server.speed.toFixed(2),
        server.holder,
      ]),
    ),
    unreached: data.unreached,
  }));
}

/** Command `drain`. */
export async function drain(client: OperatorsClient): CommandResult {
  const response = await client.call('POST', 'drain', drainAnswerSchema);
  return response.map(data => ({
    data,
    text: `${data.incarnation} is leaving; ${data.openJobs} jobs have yet to end`,
  }));
}
