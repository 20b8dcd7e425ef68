/** Checks names: those of queues, and services against their queues. */
import type {Candidate} from './candidate.js';
import {
  atQueue,
  createFinding,
  FindingCode,
  type Finding,
  type Place,
} from './finding.js';

/** Checks the names of queues and of their services. */
export function checkQueueNames({queues, services}: Candidate): Finding[] {
  const findings: Finding[] = [];
  const firstByName = new Map<string, number>();
  const listed = new Set(services.map(({name}) => name));
  for (const {index, queue} of queues) {
    const {name, service} = queue;
    const place = atQueue(index, 'name');
    const first = firstByName.get(name);
    if (name === '') {
      findings.push(createFinding(FindingCode.EmptyName, place, name));
    } else if (first === undefined) {
      firstByName.set(name, index);
    } else {
      const others = [atQueue(first, 'name')];
      const {DuplicateName} = FindingCode;
      findings.push(createFinding(DuplicateName, place, name, [], others));
    }
    const {EmptyService, ServiceNotListed} = FindingCode;
    const ofService = atQueue(index, 'service');
    if (service === '')
      findings.push(createFinding(EmptyService, ofService, service));
    else if (listed.size > 0 && !listed.has(service))
      findings.push(createFinding(ServiceNotListed, ofService, service));
  }
  return findings;
}

/** Checks that each service is listed once and used by a queue. */
export function checkServices(candidate: Candidate): Finding[] {
  const {queues, services, lacksQueues} = candidate;
  const used = new Set(queues.map(({queue}) => queue.service));
  const findings: Finding[] = [];
  const firstByName = new Map<string, number>();
  for (const {index, name} of services) {
    const place: Place = {kind: 'service', index};
    const first = firstByName.get(name);
    if (first !== undefined) {
      const others: Place[] = [{kind: 'service', index: first}];
      const {ServiceTwice} = FindingCode;
      findings.push(createFinding(ServiceTwice, place, name, [], others));
      continue;
    }
    firstByName.set(name, index);
    // A queue that could not be decoded may be the one that uses it.
    if (!lacksQueues && !used.has(name))
      findings.push(createFinding(FindingCode.ServiceUnused, place, name));
  }
  return findings;
}
