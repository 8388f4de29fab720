/** Finds entries of a configuration that no request can use. */
import {METHODS} from 'node:http';
import type {Configuration, Service, ServiceRoute, Workspace} from '../Configuration.js';
import {createError, createWarning, type ConfigurationFinding} from './ConfigurationFinding.js';

/** Host of the URLs with which path prefixes are tried; requests are routed by path alone. */
const ANY_HOST = 'http://host';
/** Node's HTTP server doesn't pass CONNECT requests to the request handler. */
const UNROUTED_METHOD = 'CONNECT';

/**
 * Returns the entries that can never match a request.
 * @param configuration - Configuration that fits the schema.
 * @param nowMs - Current Unix time in milliseconds, against which the expiry of keys is checked.
 */
export function findUnusedEntries(
  configuration: Configuration,
  nowMs: number,
): readonly ConfigurationFinding[] {
  return [
    ...configuration.workspaces.flatMap(workspace => findExpiredKeys(workspace, nowMs)),
    ...findWorkspacesWithoutService(configuration),
    ...findUnselectedClasses(configuration),
    ...configuration.services.flatMap(findUnusedPartsOfService),
  ];
}

function findExpiredKeys({name, keys}: Workspace, nowMs: number): readonly ConfigurationFinding[] {
  const expired = keys.filter(({notAfterMs = Infinity}) => notAfterMs <= nowMs);
  if (expired.length === keys.length) {
    return [
      createError(
        'never-matches',
        `workspaces.${name}.keys`,
        'every notAfterMs has passed, so all requests of the workspace would be rejected',
      ),
    ];
  }
  return expired.map(({sha256, notAfterMs = 0}) =>
    createWarning(
      'never-matches',
      `workspaces.${name}.keys.${sha256}`,
      `notAfterMs ${notAfterMs} (${new Date(notAfterMs).toISOString()}) has passed, so the key is rejected`,
    ),
  );
}

function findWorkspacesWithoutService({
  workspaces,
  services,
}: Configuration): readonly ConfigurationFinding[] {
  return workspaces
    .filter(({name}) => !services.some(service => service.workspaces?.includes(name) ?? true))
    .map(({name}) =>
      createWarning(
        'never-matches',
        `workspaces.${name}`,
        `no service allows "${name}" among its workspaces`,
      ),
    );
}

/** A request without a class gets the first one with the smallest `maxPromptTokens` that fits its prompt. */
function findUnselectedClasses({
  requestClasses,
  services,
}: Configuration): readonly ConfigurationFinding[] {
  if (services.every(({kind}) => kind === 'plain')) {
    return requestClasses.map(({name}) =>
      createWarning(
        'never-matches',
        `requestClasses.${name}`,
        'no service is of kind "model", and requests of plain services have no class',
      ),
    );
  }
  return requestClasses.flatMap(({name, maxPromptTokens}, index) => {
    const earlier = requestClasses
      .slice(0, index)
      .find(other => other.maxPromptTokens === maxPromptTokens);
    if (!earlier || earlier.name === name) return [];
    return createWarning(
      'never-matches',
      `requestClasses.${name}.maxPromptTokens`,
      `${maxPromptTokens} is also the limit of "${earlier.name}", which is listed first; only requests that name ` +
        `"${name}" get it`,
    );
  });
}

function findUnusedPartsOfService(service: Service): readonly ConfigurationFinding[] {
  const path = `services.${service.name}`;
  const unusedVersions = service.versions
    .filter(({sharePercent}) => sharePercent === 0)
    .map(({name}) =>
      createWarning(
        'never-matches',
        `${path}.versions.${name}.sharePercent`,
        '0 percent: the version gets no requests until a move to it',
      ),
    );
  return [...findServiceWithoutRequests(service), ...findUnusedRoutes(service), ...unusedVersions];
}

function findServiceWithoutRequests(service: Service): readonly ConfigurationFinding[] {
  const path = `services.${service.name}`;
  const findings: ConfigurationFinding[] = [];
  if (service.workspaces?.length === 0) {
    findings.push(
      createWarning(
        'never-matches',
        `${path}.workspaces`,
        'is an empty list, so no workspace may use the service; leave it out to allow all',
      ),
    );
  }
  if (service.kind === 'plain' && service.routes.length === 0) {
    findings.push(
      createWarning(
        'never-matches',
        `${path}.routes`,
        'a plain service without routes gets no requests',
      ),
    );
  }
  return findings;
}

function findUnusedRoutes({name, kind, routes}: Service): readonly ConfigurationFinding[] {
  const path = `services.${name}.routes`;
  if (kind === 'model') {
    if (routes.length === 0) return [];
    return [
      createWarning(
        'never-matches',
        path,
        'the routes of a model service are fixed; these are ignored',
      ),
    ];
  }
  return routes.flatMap(route => {
    const routePath = `${path}.${route.methods.join('+')} ${route.pathPrefix}`;
    const prefixFindings = isPossiblePrefix(route)
      ? []
      : [
          createWarning(
            'never-matches',
            routePath,
            `"${route.pathPrefix}" is not the start of a normalized, percent-encoded URL path, so no request matches it`,
          ),
        ];
    const methodFindings = route.methods
      .filter(method => method === UNROUTED_METHOD || !METHODS.includes(method))
      .map(method =>
        createWarning(
          'never-matches',
          routePath,
          `"${method}" is not a method that entries accept`,
        ),
      );
    return [...prefixFindings, ...methodFindings];
  });
}

/** Returns whether a path with its query can start with the prefix after the URL parser has normalized it. */
function isPossiblePrefix({pathPrefix}: ServiceRoute): boolean {
  const {pathname, search} = new URL(`${ANY_HOST}${pathPrefix}x`);
  return (pathname + search).startsWith(pathPrefix);
}
