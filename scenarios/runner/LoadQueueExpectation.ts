/** Expectation about the queue of weight loads, checked against the ledgers of the cloud API and the weight store. */
import type {Violations} from './CallExpectations.js';
import type {LedgerLoad, PlatformLedgers} from './PlatformLedgers.js';

/** Limits on the number of weight loads, and on those open at the same time. */
export interface LoadQueueLimits {
  readonly minLoads: number;
  readonly maxOpenLoads: number;
}

/** A service with the instances that the scenario itself started; `replicas` is its target. */
export interface QueuedService {
  readonly name: string;
  readonly replicas: number;
  readonly instanceIds: readonly string[];
}

/** Maximum time until a lease holder observes a change of an instance. */
const MAX_OBSERVATION_DELAY_MS = 2_000;

/** Checks the number of open loads, and that each load was for the service with the lowest fraction of ready instances. */
export function checkLoadQueue(
  ledgers: PlatformLedgers,
  services: readonly QueuedService[],
  limits: LoadQueueLimits,
): Violations {
  const {loads} = ledgers;
  if (loads.length < limits.minLoads) return [`there were only ${loads.length} loads`];
  const overLimit = loads.flatMap(({askedAtMs}) => {
    const open = loads.filter(item => item.askedAtMs <= askedAtMs && item.endsAtMs > askedAtMs);
    return open.length > limits.maxOpenLoads
      ? [`${open.length} loads were open at the same time`]
      : [];
  });
  return [...overLimit, ...loads.flatMap(load => checkMostNeeded(ledgers, services, load))];
}

/**
 * Checks that no other waiting service had a lower ready fraction. The lease holder's view can be outdated, so the service
 * of the load is counted at the lowest fraction that the holder may have observed, the others at the highest.
 */
function checkMostNeeded(
  ledgers: PlatformLedgers,
  services: readonly QueuedService[],
  {instanceId, askedAtMs}: LedgerLoad,
): Violations {
  const start = ledgers.starts.find(item => item.instanceId === instanceId);
  const own = services.find(({name}) => name === start?.service);
  if (!own) return [];
  const oldestViewMs = askedAtMs - MAX_OBSERVATION_DELAY_MS;
  const minReadyFraction = getReadyFraction(
    ledgers,
    own,
    oldestViewMs,
    askedAtMs + MAX_OBSERVATION_DELAY_MS,
  );
  return services
    .filter(service => service !== own && isWaiting(ledgers, service.name, askedAtMs))
    .filter(
      service => getReadyFraction(ledgers, service, askedAtMs, oldestViewMs) < minReadyFraction,
    )
    .map(
      ({name}) =>
        `${instanceId} was loaded before an instance of ${name}, which had a lower ready fraction`,
    );
}

/** Returns whether an instance of the service waits for its load, long enough for the lease holder to have observed it. */
function isWaiting({starts, loads}: PlatformLedgers, service: string, atMs: number): boolean {
  const requestedIds = loads
    .filter(({askedAtMs}) => askedAtMs <= atMs)
    .map(item => item.instanceId);
  return starts.some(
    item =>
      item.service === service &&
      item.atMs < atMs - MAX_OBSERVATION_DELAY_MS &&
      !requestedIds.includes(item.instanceId),
  );
}

/**
 * Returns the number of a service's ready instances divided by its target.
 * @param loadedByMs - Unix time in ms; instances loaded by then are counted as ready.
 * @param lostByMs - Unix time in ms; instances stopped or reclaimed by then are not counted.
 */
function getReadyFraction(
  {starts, stops, notices, loads}: PlatformLedgers,
  {name, replicas, instanceIds}: QueuedService,
  loadedByMs: number,
  lostByMs: number,
): number {
  const started = starts.filter(({service}) => service === name).map(item => item.instanceId);
  const loaded = loads
    .filter(item => started.includes(item.instanceId) && item.endsAtMs <= loadedByMs)
    .map(item => item.instanceId);
  const lost = [
    ...stops.filter(({atMs}) => atMs <= lostByMs),
    ...notices.filter(({leavingAtMs}) => leavingAtMs <= lostByMs),
  ].map(item => item.instanceId);
  const ready = [...instanceIds, ...loaded].filter(id => !lost.includes(id));
  return ready.length / replicas;
}
