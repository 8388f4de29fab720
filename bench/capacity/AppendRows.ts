/** Appends on the log at the target: writers times how often each appends. */
import {formatNumber, toTable} from './CapacityPage.js';
import {TARGET} from './Target.js';
import type {Phase} from './WorkedRows.js';

/** One source of appends. */
export interface AppendRow {
  readonly source: string;
  readonly phase: Phase;
  readonly writers: number;
  /** How often each of them appends. */
  readonly timesPerSecond: number;
}

/** "Several hundred a second" of the brief. */
export const APPENDS_PER_SECOND_LIMIT = 400;

const LEASE_RENEWALS_PER_SECOND = 1;
const FLEET_STEPS_PER_SECOND = 2;
/** One append every 50 ms, with claims and outcomes together. */
const COLLECTOR_APPENDS_PER_SECOND = 20;
const GATHERERS = 2;
/** One append every 20 ms. */
const GATHERER_APPENDS_PER_SECOND = 50;

const COMMON: ReadonlyArray<Omit<AppendRow, 'phase'>> = [
  {
    source: 'configuration changes',
    writers: 1,
    timesPerSecond: TARGET.configurationChangesPerSecond,
  },
  {source: 'lease renewals', writers: 1, timesPerSecond: LEASE_RENEWALS_PER_SECOND},
  {source: 'steps of moves and orders', writers: 1, timesPerSecond: FLEET_STEPS_PER_SECOND},
];

/** All sources. */
export const APPEND_ROWS: readonly AppendRow[] = [
  ...COMMON.map(row => ({...row, phase: 'today' as const})),
  {
    source: 'claims and outcomes, by two gatherers',
    phase: 'today',
    writers: GATHERERS,
    timesPerSecond: GATHERER_APPENDS_PER_SECOND,
  },
  ...COMMON.map(row => ({...row, phase: 'replacement' as const})),
  {
    source: 'claims and outcomes, by one collector a failure domain',
    phase: 'replacement',
    writers: TARGET.failureDomains,
    timesPerSecond: COLLECTOR_APPENDS_PER_SECOND,
  },
];

/** Returns the table with the sum of each phase. */
export function formatAppends(rows: readonly AppendRow[]): string {
  const lines = rows.map(({source, phase, writers, timesPerSecond}) => [
    phase,
    source,
    String(writers),
    formatNumber(timesPerSecond),
    formatNumber(writers * timesPerSecond, 4),
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

/** Returns the appends a second of a phase. */
export function sumAppends(phase: Phase, rows: readonly AppendRow[]): number {
  return rows
    .filter(row => row.phase === phase)
    .reduce((sum, {writers, timesPerSecond}) => sum + writers * timesPerSecond, 0);
}
