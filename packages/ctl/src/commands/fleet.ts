/** Commands on instances and backend servers. */
import {
  drainAnswerSchema,
  fleetInstancesSchema,
  fleetServersSchema,
} from '@goldcrestpier/operators';
import type {OperatorsCalls} from '../calls/index.js';
import {renderTable} from '../output/index.js';
import type {CommandResult} from './command.js';

/** `instances` */
export async function listInstances(calls: OperatorsCalls): CommandResult {
  const answer = await calls.call('GET', 'instances', fleetInstancesSchema);
  return answer.map(data => ({
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

/** `servers` */
export async function listServers(calls: OperatorsCalls): CommandResult {
  const answer = await calls.call('GET', 'servers', fleetServersSchema);
  return answer.map(data => ({
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

/** `drain` */
export async function drain(calls: OperatorsCalls): CommandResult {
  const answer = await calls.call('POST', 'drain', drainAnswerSchema);
  return answer.map(data => ({
    data,
    text: `${data.incarnation} is leaving; ${data.openJobs} jobs have yet to end`,
  }));
}
