/** Append rate of the shared log at the target size, as the number of writers times appends per second of each. */
import {formatNumber, toTable} from './CapacityPage.js';
import {TARGET} from './Target.js';
import type {DesignPhase} from './CapacityRows.js';

/** A kind of writer and its append rate. */
export interface AppendRow {
  readonly source: string;
  readonly phase: DesignPhase;
  readonly writers: number;
  /** Appends per second of each writer. */
  readonly appendsPerSecond: number;
}

/** Appends per second that the log is assumed to accept; the requirement says "several hundred a second". */
export const APPENDS_PER_SECOND_LIMIT = 400;

const LEASE_RENEWALS_PER_SECOND = 1;
const FLEET_STEPS_PER_SECOND = 2;
/** One append every 50 ms, which batches claims and outcomes together. */
const COLLECTOR_APPENDS_PER_SECOND = 20;
const AGGREGATORS = 2;
/** One append every 20 ms per aggregator. */
const AGGREGATOR_APPENDS_PER_SECOND = 50;

const COMMON_ROWS: ReadonlyArray<Omit<AppendRow, 'phase'>> = [
  {
    source: 'configuration changes',
    writers: 1,
    appendsPerSecond: TARGET.configurationChangesPerSecond,
  },
  {source: 'lease renewals', writers: 1, appendsPerSecond: LEASE_RENEWALS_PER_SECOND},
  {source: 'steps of moves and orders', writers: 1, appendsPerSecond: FLEET_STEPS_PER_SECOND},
];

/** All sources of appends, for the current design and for the planned one. */
export const APPEND_ROWS: readonly AppendRow[] = [
  ...COMMON_ROWS.map(row => ({...row, phase: 'today' as const})),
  {
    source: 'claims and outcomes, by two gatherers',
    phase: 'today',
    writers: AGGREGATORS,
    appendsPerSecond: AGGREGATOR_APPENDS_PER_SECOND,
  },
  ...COMMON_ROWS.map(row => ({...row, phase: 'replacement' as const})),
  {
    source: 'claims and outcomes, by one collector a failure domain',
    phase: 'replacement',
    writers: TARGET.failureDomains,
    appendsPerSecond: COLLECTOR_APPENDS_PER_SECOND,
  },
];

/** Returns the Markdown table of append rates, with a sum per phase. */
export function formatAppends(rows: readonly AppendRow[]): string {
  const lines = rows.map(({source, phase, writers, appendsPerSecond}) => [
    phase,
    source,
    String(writers),
    formatNumber(appendsPerSecond),
    formatNumber(writers * appendsPerSecond, 4),
  ]);
  const sums = (['today', 'replacement'] as const).map(phase => [
    phase,
    '**sum**',
    '',
    '',
    formatNumber(sumAppends(phase, rows), 4),
  ]);
  return toTable(['phase', 'source', 'writers', 'each a second', 'appends/s'], [...lines, ...sums]);
}

/** Returns the total appends per second in a phase. */
export function sumAppends(phase: DesignPhase, rows: readonly AppendRow[]): number {
  return rows
    .filter(row => row.phase === phase)
    .reduce((sum, {writers, appendsPerSecond}) => sum + writers * appendsPerSecond, 0);
}
