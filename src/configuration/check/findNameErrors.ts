/** Finds names and keys that are listed twice, and references to names that don't exist. */
import type {Configuration, Service} from '../Configuration.js';
import {createError, createWarning, type ConfigurationFinding} from './ConfigurationFinding.js';

/** Returns the duplicates and the unknown references of a configuration. */
export function findNameErrors(configuration: Configuration): readonly ConfigurationFinding[] {
  return [
    ...findDuplicateNames(configuration),
    ...findDuplicateKeys(configuration),
    ...configuration.services.flatMap(findDuplicateRoutes),
    ...configuration.services.flatMap(service => checkServiceWorkspaces(configuration, service)),
  ];
}

function findDuplicateNames(configuration: Configuration): readonly ConfigurationFinding[] {
  const {failureDomains, workspaces, requestClasses, services, priceLimits} = configuration;
  const nameLists = [
    {path: 'failureDomains', names: failureDomains.map(({name}) => name)},
    {path: 'workspaces', names: workspaces.map(({name}) => name)},
    {path: 'requestClasses', names: requestClasses.map(({name}) => name)},
    {path: 'services', names: services.map(({name}) => name)},
    {path: 'priceLimits', names: priceLimits.map(({machineClass}) => machineClass)},
    ...services.map(service => ({
      path: `services.${service.name}.versions`,
      names: service.versions.map(({name}) => name),
    })),
  ];
  return nameLists.flatMap(({path, names}) =>
    getRepeated(names).map(name =>
      createError('duplicate', `${path}.${name}`, `"${name}" is listed twice`),
    ),
  );
}

/** A key identifies the first workspace that lists it, so a second one would never be recognized by it. */
function findDuplicateKeys({workspaces}: Configuration): readonly ConfigurationFinding[] {
  const owners = workspaces.flatMap(({name, keys}) => keys.map(({sha256}) => ({name, sha256})));
  return getRepeated(owners.map(({sha256}) => sha256)).map(sha256 => {
    const names = owners.filter(owner => owner.sha256 === sha256).map(({name}) => name);
    return createError(
      'duplicate',
      `workspaces.${names.at(-1)}.keys.${sha256}`,
      `the key is listed twice (workspaces ${names.join(', ')}); it must identify a single workspace`,
    );
  });
}

/** Of two routes with the same method and prefix, entries use the first one. */
function findDuplicateRoutes({name, routes}: Service): readonly ConfigurationFinding[] {
  const entries = routes.flatMap(({methods, pathPrefix, isIdempotent}) =>
    methods.map(method => ({route: `${method} ${pathPrefix}`, isIdempotent})),
  );
  return getRepeated(entries.map(({route}) => route)).map(route => {
    const isIdempotent = entries.find(entry => entry.route === route)?.isIdempotent;
    return createError(
      'duplicate',
      `services.${name}.routes.${route}`,
      `"${route}" is listed twice; the first one (isIdempotent ${isIdempotent}) hides the others`,
    );
  });
}

function checkServiceWorkspaces(
  configuration: Configuration,
  {name, workspaces = []}: Service,
): readonly ConfigurationFinding[] {
  const path = `services.${name}.workspaces`;
  const known = configuration.workspaces.map(workspace => workspace.name);
  const unknown = [...new Set(workspaces)].filter(workspace => !known.includes(workspace));
  return [
    ...unknown.map(workspace =>
      createError(
        'unknown-reference',
        path,
        `"${workspace}" is not among the workspaces: ${known.join(', ')}`,
      ),
    ),
    ...getRepeated(workspaces).map(workspace =>
      createWarning('duplicate', path, `"${workspace}" is listed twice`),
    ),
  ];
}

/** Returns the values that occur more than once, each of them once. */
function getRepeated(values: readonly string[]): readonly string[] {
  return [...new Set(values.filter((value, index) => values.indexOf(value) !== index))];
}
