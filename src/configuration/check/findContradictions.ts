/** Finds limits and properties of a configuration that contradict each other. */
import type {Configuration, RequestClass, Service} from '../Configuration.js';
import {createError, createWarning, type ConfigurationFinding} from './ConfigurationFinding.js';

const FULL_SHARE_PERCENT = 100;
/** Tolerance for the sum of shares such as 33.3 + 33.3 + 33.4. */
const SHARE_TOLERANCE_PERCENT = 1e-6;
const MIN_REPLICAS_WITH_SEVERAL_DOMAINS = 2;
/** Methods that are read-only according to RFC 9110. */
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Returns the limits and properties of services that contradict each other. */
export function findContradictions({
  failureDomains,
  requestClasses,
  services,
}: Configuration): readonly ConfigurationFinding[] {
  const domains = new Set(failureDomains.map(({name}) => name)).size;
  return services.flatMap(service => [
    ...checkShares(service),
    ...checkReplicas(service, domains),
    ...checkConcurrency(service),
    ...requestClasses.flatMap(requestClass => checkTimeout(service, requestClass)),
    ...checkSafeMethods(service),
  ]);
}

function checkShares({name, versions}: Service): readonly ConfigurationFinding[] {
  const sum = versions.reduce((total, {sharePercent}) => total + sharePercent, 0);
  if (Math.abs(sum - FULL_SHARE_PERCENT) <= SHARE_TOLERANCE_PERCENT) return [];
  return [
    createError(
      'contradiction',
      `services.${name}.versions`,
      `the shares add up to ${sum} percent; they must add up to 100`,
    ),
  ];
}

function checkReplicas(
  {name, targetReplicas}: Service,
  domains: number,
): readonly ConfigurationFinding[] {
  const path = `services.${name}.targetReplicas`;
  if (targetReplicas === 0) {
    return [
      createWarning(
        'contradiction',
        path,
        '0: no server is ever started, because the number under load is at most a multiple of it',
      ),
    ];
  }
  if (domains === 1 || targetReplicas >= MIN_REPLICAS_WITH_SEVERAL_DOMAINS) return [];
  return [
    createError(
      'contradiction',
      path,
      `${targetReplicas} is too few for ${domains} failure domains; the only replica would be lost with its domain`,
    ),
  ];
}

function checkConcurrency({
  name,
  coldConcurrentRequests,
  maxConcurrentRequests,
}: Service): readonly ConfigurationFinding[] {
  if (coldConcurrentRequests <= maxConcurrentRequests) return [];
  return [
    createError(
      'contradiction',
      `services.${name}.coldConcurrentRequests`,
      `${coldConcurrentRequests} exceeds maxConcurrentRequests (${maxConcurrentRequests}), which limits it`,
    ),
  ];
}

/** A request must not time out before the tokens that are due according to the targets of its class. */
function checkTimeout(
  {name, kind, requestTimeoutMs}: Service,
  {name: className, firstTokenTargetMs, interTokenTargetMs}: RequestClass,
): readonly ConfigurationFinding[] {
  if (kind !== 'model') return [];
  const path = `services.${name}.requestTimeoutMs`;
  if (requestTimeoutMs <= firstTokenTargetMs) {
    return [
      createError(
        'contradiction',
        path,
        `${requestTimeoutMs} does not exceed firstTokenTargetMs of class "${className}" (${firstTokenTargetMs})`,
      ),
    ];
  }
  if (requestTimeoutMs > firstTokenTargetMs + interTokenTargetMs) return [];
  return [
    createWarning(
      'contradiction',
      path,
      `${requestTimeoutMs} leaves no time for a second token of class "${className}", which is due after ` +
        `firstTokenTargetMs ${firstTokenTargetMs} + interTokenTargetMs ${interTokenTargetMs}`,
    ),
  ];
}

function checkSafeMethods({name, kind, routes}: Service): readonly ConfigurationFinding[] {
  if (kind !== 'plain') return [];
  return routes
    .filter(({isIdempotent}) => !isIdempotent)
    .flatMap(({methods, pathPrefix}) => {
      const safe = methods.filter(method => SAFE_METHODS.includes(method));
      if (safe.length === 0) return [];
      return createError(
        'contradiction',
        `services.${name}.routes.${methods.join('+')} ${pathPrefix}`,
        `isIdempotent is false, but ${safe.join(', ')} only read; give them a separate route`,
      );
    });
}
