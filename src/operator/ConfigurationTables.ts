/** Formats a configuration as tables for the terminal. */
import type {Configuration} from '../configuration/index.js';
import {formatTable} from './formatTable.js';

/**
 * Formats a configuration as lines: its failure domains, services, workspaces and request classes.
 * @param revision - Revision of the configuration; 0 if it is not published yet.
 */
export function formatConfiguration(
  revision: number,
  configuration: Configuration,
): readonly string[] {
  const {deployment, failureDomains, workspaces, requestClasses, services} = configuration;
  const serviceRows = services.map(service => [
    service.name,
    service.kind,
    service.versions.map(({name, sharePercent}) => `${name} ${sharePercent}%`).join(', '),
    service.targetReplicas,
    service.maxConcurrentRequests,
    service.workspaces?.join(', ') ?? 'all',
  ]);
  const workspaceRows = workspaces.map(({name, shareWeight, maxOpenRequests, keys}) => [
    name,
    shareWeight,
    maxOpenRequests,
    keys.length,
  ]);
  const classRows = requestClasses.map(requestClass => [
    requestClass.name,
    requestClass.priority,
    requestClass.maxPromptTokens,
    requestClass.firstTokenTargetMs,
    requestClass.interTokenTargetMs,
  ]);
  return [
    `deployment ${deployment}, revision ${revision}`,
    `failure domains: ${failureDomains.map(({name, region}) => `${name} (${region})`).join(', ')}`,
    '',
    ...formatTable(
      ['SERVICE', 'KIND', 'VERSIONS', 'REPLICAS', 'REQUESTS EACH', 'WORKSPACES'],
      serviceRows,
    ),
    '',
    ...formatTable(['WORKSPACE', 'SHARE WEIGHT', 'OPEN REQUESTS', 'KEYS'], workspaceRows),
    '',
    ...formatTable(
      ['CLASS', 'PRIORITY', 'PROMPT TOKENS', 'FIRST TOKEN MS', 'INTER TOKEN MS'],
      classRows,
    ),
  ];
}
