/** Compares the target version of a roll-out with the other versions, by the results of all gateways. */
import {compareVersions, type EvidenceStratum, type Fault} from './EvidenceComparison.js';
import {addMoments, NO_DURATIONS} from './DurationMoments.js';
import {getRowStartMs, type EvidenceRow} from './FleetEvidence.js';

/** A fault of the target version for which the evidence is significant. */
export interface RolloutFault {
  readonly fault: Fault;
  readonly likelihoodRatio: number;
  /** Results and errors of the target version, and of the other ones, in the compared rows. */
  readonly targetRequests: number;
  readonly targetErrors: number;
  readonly otherRequests: number;
  readonly otherErrors: number;
}

/**
 * Likelihood ratio that rolls a version back. A good version reaches it with a probability of at most one in this many
 * for each route and look-back time.
 */
const ROLLBACK_LIKELIHOOD_RATIO = 10_000;
/** Length of a time block, whose results count as simultaneous. */
const BLOCK_MS = 2_000;
/** Look-back times: the short one detects a late fault early. */
const LOOKBACKS_MS = [5_000, Infinity];
/** Connections to one server that are lost within this time count as one failure. */
const LOSS_BLOCK_MS = 3_000;
const LOADS = ['low', 'medium', 'high'] as const;

/**
 * Returns the fault with the strongest evidence, if that is significant.
 * @param rows - Rows of one roll-out.
 * @param hasOthersBeside - Whether the other versions still get requests; otherwise the errors of the target version
 * are also compared with those that the others had before.
 * @param wallMs - Unix time in milliseconds.
 */
export function findRolloutFault(
  rows: readonly EvidenceRow[],
  hasOthersBeside: boolean,
  wallMs: number,
): RolloutFault | undefined {
  const counted = mergeLosses(rows);
  const routes = [...new Set(counted.map(({routeKey}) => routeKey))];
  const groups = [counted, ...routes.map(key => counted.filter(row => row.routeKey === key))];
  const faults = groups.flatMap(group =>
    LOOKBACKS_MS.flatMap(lookbackMs =>
      compareRows(
        group.filter(row => getRowStartMs(row) >= wallMs - lookbackMs),
        hasOthersBeside,
      ),
    ),
  );
  return faults
    .filter(({likelihoodRatio}) => likelihoodRatio >= ROLLBACK_LIKELIHOOD_RATIO)
    .sort((one, other) => other.likelihoodRatio - one.likelihoodRatio)
    .at(0);
}

function compareRows(
  rows: readonly EvidenceRow[],
  hasOthersBeside: boolean,
): readonly RolloutFault[] {
  const target = rows.filter(({isTarget}) => isTarget);
  const others = rows.filter(({isTarget}) => !isTarget);
  const counts = {
    targetRequests: sum(target, ({requests}) => requests),
    targetErrors: sum(target, ({errors}) => errors),
    otherRequests: sum(others, ({requests}) => requests),
    otherErrors: sum(others, ({errors}) => errors),
  };
  const byTime = compareVersions(getTimeStrata(rows)).filter(({fault}) => fault === 'errors');
  const byLoad = compareVersions(getLoadStrata(rows)).filter(({fault}) => fault !== 'errors');
  const before = hasOthersBeside
    ? []
    : compareVersions([toStratum(target, others)]).filter(({fault}) => fault === 'errors');
  return [...byTime, ...byLoad, ...before].map(evidence => ({...evidence, ...counts}));
}

/** Pairs the results of the same time, whatever the load: an overloaded server rejects requests, which is no error. */
function getTimeStrata(rows: readonly EvidenceRow[]): readonly EvidenceStratum[] {
  return groupBy(rows, getBlock).map(block =>
    toStratum(
      block.filter(({isTarget}) => isTarget),
      block.filter(({isTarget}) => !isTarget),
    ),
  );
}

/** Pairs the durations of the same time and prompt size with those of the others under at least the same load. */
function getLoadStrata(rows: readonly EvidenceRow[]): readonly EvidenceStratum[] {
  const blocks = groupBy(rows, row => [getBlock(row), row.routeKey, row.prefillBand].join());
  return blocks.flatMap(block =>
    LOADS.map(load => {
      const target = block.filter(row => row.isTarget && row.loadBand === load);
      const others = block.filter(row => !row.isTarget && isAtLeast(row.loadBand, load));
      return toStratum(target, others);
    }),
  );
}

function isAtLeast(load: EvidenceRow['loadBand'], least: EvidenceRow['loadBand']): boolean {
  return LOADS.indexOf(load) >= LOADS.indexOf(least);
}

function getBlock(row: EvidenceRow): string {
  return String(Math.floor(getRowStartMs(row) / BLOCK_MS));
}

/** Counts the connections that are lost when a server crashes as one failure. */
function mergeLosses(rows: readonly EvidenceRow[]): readonly EvidenceRow[] {
  const lost = rows.filter(({lostServerKey}) => lostServerKey !== 0);
  const crashes = groupBy(lost, row =>
    [row.lostServerKey, Math.floor(getRowStartMs(row) / LOSS_BLOCK_MS)].join(),
  ).map(([first]) => ({...first, requests: 1, errors: 1}));
  return [...rows.filter(({lostServerKey}) => lostServerKey === 0), ...crashes];
}

function toStratum(
  target: readonly EvidenceRow[],
  others: readonly EvidenceRow[],
): EvidenceStratum {
  return {
    oldRequests: sum(others, ({requests}) => requests),
    oldErrors: sum(others, ({errors}) => errors),
    newRequests: sum(target, ({requests}) => requests),
    newErrors: sum(target, ({errors}) => errors),
    oldFirstToken: others.map(({firstEvent}) => firstEvent).reduce(addMoments, NO_DURATIONS),
    newFirstToken: target.map(({firstEvent}) => firstEvent).reduce(addMoments, NO_DURATIONS),
    oldInterToken: others.map(({interEvent}) => interEvent).reduce(addMoments, NO_DURATIONS),
    newInterToken: target.map(({interEvent}) => interEvent).reduce(addMoments, NO_DURATIONS),
  };
}

function groupBy(
  rows: readonly EvidenceRow[],
  getKey: (row: EvidenceRow) => string,
): readonly (readonly EvidenceRow[])[] {
  const groups = new Map<string, EvidenceRow[]>();
  for (const row of rows) {
    const key = getKey(row);
    const group = groups.get(key);
    if (group) group.push(row);
    else groups.set(key, [row]);
  }
  return [...groups.values()];
}

function sum(rows: readonly EvidenceRow[], getValue: (row: EvidenceRow) => number): number {
  return rows.reduce((total, row) => total + getValue(row), 0);
}
