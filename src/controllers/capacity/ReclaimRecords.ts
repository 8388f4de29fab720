/**
 * Derives the reclaim history from the platform's instance list. Every fleet daemon computes it, so that a new lease
 * holder has it at once.
 */
import type {Instance} from '../../blackboard/index.js';
import type {ReclaimHistory} from './Offers.js';

/** Observations of one reclaimable instance in the instance list. All times are by the wall clock. */
export interface ReclaimRecord {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly firstSeenAtMs: number;
  readonly lastSeenAtMs: number;
  /** Time of the reclaim according to the platform's notice; undefined without a notice. */
  readonly reclaimedAtMs: number | undefined;
}

const MS_PER_HOUR = 3_600_000;
/** Reclaims older than this are ignored, as they say little about the platform's present reclaim rate. */
const RECLAIM_RETENTION_MS = 6 * MS_PER_HOUR;

/**
 * Returns the records updated with the current instance list. Only an instance with a notice, which has a
 * `leavingAtMs`, counts as reclaimed; a planned stop doesn't. If there are no records yet, all instances are assumed to
 * have run since the oldest reclaim in the list.
 * @param records - Result of the previous call; empty at first.
 * @param instances - Current instance list of the platform.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function updateReclaimRecords(
  records: readonly ReclaimRecord[],
  instances: readonly Instance[],
  nowMs: number,
): readonly ReclaimRecord[] {
  const oldestMs = nowMs - RECLAIM_RETENTION_MS;
  const known = new Map(records.map(record => [record.instanceId, record]));
  const reclaimable = instances.filter(({market}) => market === 'reclaimable');
  const firstMs = known.size === 0 ? getAssumedStartMs(reclaimable, oldestMs, nowMs) : nowMs;
  for (const instance of reclaimable) {
    const record = known.get(instance.instanceId);
    const next = toRecord(instance, record, firstMs, nowMs);
    if (next) known.set(instance.instanceId, next);
  }
  return [...known.values()].filter(({lastSeenAtMs}) => lastSeenAtMs > oldestMs);
}

/**
 * Returns the number of reclaims and the observed instance hours by failure domain and machine class.
 * @param records - Result of `updateReclaimRecords`.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function getReclaimHistory(
  records: readonly ReclaimRecord[],
  nowMs: number,
): readonly ReclaimHistory[] {
  const pools = new Map<string, ReclaimHistory>();
  const oldestMs = nowMs - RECLAIM_RETENTION_MS;
  for (const record of records) {
    const {failureDomain, machineClass, firstSeenAtMs, lastSeenAtMs, reclaimedAtMs} = record;
    const key = `${failureDomain} ${machineClass}`;
    const pool = pools.get(key);
    const seenMs = Math.max(lastSeenAtMs - Math.max(firstSeenAtMs, oldestMs), 0);
    pools.set(key, {
      failureDomain,
      machineClass,
      reclaims: (pool?.reclaims ?? 0) + (reclaimedAtMs === undefined ? 0 : 1),
      instanceHours: (pool?.instanceHours ?? 0) + seenMs / MS_PER_HOUR,
    });
  }
  return [...pools.values()];
}

function getAssumedStartMs(
  instances: readonly Instance[],
  oldestMs: number,
  nowMs: number,
): number {
  const reclaimedAtMs = instances.flatMap(({leavingAtMs}) => leavingAtMs ?? []);
  const recent = reclaimedAtMs.filter(atMs => atMs > oldestMs);
  return Math.min(nowMs, ...recent);
}

/** Returns undefined for an instance that had already stopped without a notice when it was first seen. */
function toRecord(
  {instanceId, failureDomain, machineClass, state, leavingAtMs}: Instance,
  record: ReclaimRecord | undefined,
  firstMs: number,
  nowMs: number,
): ReclaimRecord | undefined {
  const isGone = state === 'gone';
  if (isGone && !record && leavingAtMs === undefined) return undefined;
  const endMs = Math.min(leavingAtMs ?? nowMs, nowMs);
  const firstSeenAtMs = record?.firstSeenAtMs ?? Math.min(firstMs, endMs);
  const lastSeenAtMs =
    isGone && leavingAtMs === undefined ? (record?.lastSeenAtMs ?? endMs) : endMs;
  const reclaimedAtMs = leavingAtMs ?? record?.reclaimedAtMs;
  return {instanceId, failureDomain, machineClass, firstSeenAtMs, lastSeenAtMs, reclaimedAtMs};
}
