/** The expectation about the queue of weight loads, by the ledgers of cloud and weight store. */
import type {Findings} from './CallExpectations.js';
import type {LedgerLoad, PlatformLedgers} from './PlatformLedgers.js';

/** Bounds of the queue of weight loads. */
export interface LoadQueueBound {
  readonly minLoads: number;
  readonly maxOpenLoads: number;
}

/** A service as the scenario started it. */
export interface QueuedService {
  readonly name: string;
  readonly replicas: number;
  readonly instanceIds: readonly string[];
}

/** Time within which a holder notes what has happened to an instance. */
const NOTED_WITHIN_MS = 2_000;

/** Checks that few loads were open at a time, and that each went to a service that lacked most. */
export function checkLoadQueue(
  ledgers: PlatformLedgers,
  services: readonly QueuedService[],
  bound: LoadQueueBound,
): Findings {
  const {loads} = ledgers;
  if (loads.length < bound.minLoads) return [`there were ${loads.length} loads only`];
  const crowded = loads.flatMap(({askedAtMs}) => {
    const open = loads.filter(one => one.askedAtMs <= askedAtMs && one.endsAtMs > askedAtMs);
    return open.length > bound.maxOpenLoads ? [`${open.length} loads were open at a time`] : [];
  });
  return [...crowded, ...loads.flatMap(load => checkMostNeeded(ledgers, services, load))];
}

/** The load's own service is taken at the least that the holder may have known of it, the others at the most. */
function checkMostNeeded(
  ledgers: PlatformLedgers,
  services: readonly QueuedService[],
  {instanceId, askedAtMs}: LedgerLoad,
): Findings {
  const start = ledgers.starts.find(one => one.instanceId === instanceId);
  const own = services.find(({name}) => name === start?.service);
  if (!own) return [];
  const notedAtMs = askedAtMs - NOTED_WITHIN_MS;
  const leastPart = getReadyPart(ledgers, own, notedAtMs, askedAtMs + NOTED_WITHIN_MS);
  return services
    .filter(service => service !== own && isWaiting(ledgers, service.name, askedAtMs))
    .filter(service => getReadyPart(ledgers, service, askedAtMs, notedAtMs) < leastPart)
    .map(({name}) => `${instanceId} was loaded before one of ${name}, which lacked more`);
}

function isWaiting({starts, loads}: PlatformLedgers, service: string, atMs: number): boolean {
  const asked = loads.filter(({askedAtMs}) => askedAtMs <= atMs).map(one => one.instanceId);
  return starts.some(
    one =>
      one.service === service &&
      one.atMs < atMs - NOTED_WITHIN_MS &&
      !asked.includes(one.instanceId),
  );
}

/**
 * Returns the ready part of what a service needs.
 * @param ledgers - Ledgers of the platform.
 * @param service - The service.
 * @param loadedByMs - Instant up to which loads count as done.
 * @param lostByMs - Instant up to which instances count as lost.
 */
function getReadyPart(
  {starts, stops, notices, loads}: PlatformLedgers,
  {name, replicas, instanceIds}: QueuedService,
  loadedByMs: number,
  lostByMs: number,
): number {
  const started = starts.filter(({service}) => service === name).map(one => one.instanceId);
  const loaded = loads
    .filter(one => started.includes(one.instanceId) && one.endsAtMs <= loadedByMs)
    .map(one => one.instanceId);
  const lost = [
    ...stops.filter(({atMs}) => atMs <= lostByMs),
    ...notices.filter(({leavingAtMs}) => leavingAtMs <= lostByMs),
  ].map(one => one.instanceId);
  const ready = [...instanceIds, ...loaded].filter(id => !lost.includes(id));
  return ready.length / replicas;
}
