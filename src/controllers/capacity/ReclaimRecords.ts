/** Counts reclaims from the platform's list, alike for every daemon that reads it, so that a new holder knows them. */
import type {Instance} from '../../blackboard/index.js';
import type {ReclaimHistory} from './Offers.js';

/** A reclaimable instance as the list showed it. */
export interface ReclaimRecord {
  readonly instanceId: string;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly seenFromMs: number;
  readonly seenToMs: number;
  /** Instant that its notice named; undefined where it had none. */
  readonly reclaimedAtMs: number | undefined;
}

const MS_PER_HOUR = 3_600_000;
/** Reclaims count for this long; what the platform did before says little of what it does now. */
const RECLAIMS_KEPT_MS = 6 * MS_PER_HOUR;

/**
 * Returns the records with what the list shows now. Only a notice names an instant, so a planned stop is no reclaim. In
 * the first look all instances count as seen since the oldest reclaim that is listed.
 * @param records - Records of the looks before.
 * @param instances - Instances as the cloud lists them.
 * @param nowMs - Present time by the wall clock.
 */
export function updateReclaimRecords(
  records: readonly ReclaimRecord[],
  instances: readonly Instance[],
  nowMs: number,
): readonly ReclaimRecord[] {
  const oldestMs = nowMs - RECLAIMS_KEPT_MS;
  const known = new Map(records.map(record => [record.instanceId, record]));
  const reclaimable = instances.filter(({market}) => market === 'reclaimable');
  const firstMs = known.size === 0 ? getFirstMs(reclaimable, oldestMs, nowMs) : nowMs;
  for (const instance of reclaimable) {
    const record = known.get(instance.instanceId);
    const next = toRecord(instance, record, firstMs, nowMs);
    if (next) known.set(instance.instanceId, next);
  }
  return [...known.values()].filter(({seenToMs}) => seenToMs > oldestMs);
}

/**
 * Returns reclaims and instance hours by failure domain and machine class.
 * @param records - What was seen.
 * @param nowMs - Present time by the wall clock.
 */
export function getReclaimHistory(
  records: readonly ReclaimRecord[],
  nowMs: number,
): readonly ReclaimHistory[] {
  const pools = new Map<string, ReclaimHistory>();
  const oldestMs = nowMs - RECLAIMS_KEPT_MS;
  for (const record of records) {
    const {failureDomain, machineClass, seenFromMs, seenToMs, reclaimedAtMs} = record;
    const key = `${failureDomain} ${machineClass}`;
    const pool = pools.get(key);
    const seenMs = Math.max(seenToMs - Math.max(seenFromMs, oldestMs), 0);
    pools.set(key, {
      failureDomain,
      machineClass,
      reclaims: (pool?.reclaims ?? 0) + (reclaimedAtMs === undefined ? 0 : 1),
      instanceHours: (pool?.instanceHours ?? 0) + seenMs / MS_PER_HOUR,
    });
  }
  return [...pools.values()];
}

function getFirstMs(instances: readonly Instance[], oldestMs: number, nowMs: number): number {
  const reclaimedAtMs = instances.flatMap(({leavingAtMs}) => leavingAtMs ?? []);
  const recent = reclaimedAtMs.filter(atMs => atMs > oldestMs);
  return Math.min(nowMs, ...recent);
}

/** An instance that is gone at the first look without a notice, or long since, says nothing. */
function toRecord(
  {instanceId, failureDomain, machineClass, state, leavingAtMs}: Instance,
  record: ReclaimRecord | undefined,
  firstMs: number,
  nowMs: number,
): ReclaimRecord | undefined {
  const isGone = state === 'gone';
  if (isGone && !record && leavingAtMs === undefined) return undefined;
  const endMs = Math.min(leavingAtMs ?? nowMs, nowMs);
  const seenFromMs = record?.seenFromMs ?? Math.min(firstMs, endMs);
  const seenToMs = isGone && leavingAtMs === undefined ? (record?.seenToMs ?? endMs) : endMs;
  const reclaimedAtMs = leavingAtMs ?? record?.reclaimedAtMs;
  return {instanceId, failureDomain, machineClass, seenFromMs, seenToMs, reclaimedAtMs};
}
