/** Measures all slopes and writes the tables of docs/CAPACITY.md. */
import {readFileSync, writeFileSync} from 'node:fs';
import {
  formatNumber,
  formatPercent,
  formatRows,
  formatSlopes,
  replaceBetweenMarkers,
  toPageSlope,
  toTable,
  workOut,
  type MeasuredSlope,
  type PageRow,
} from './CapacityPage.js';
import {CLAIM_SLOPES} from './ClaimSlopes.js';
import {CONFIGURATION_SLOPES} from './ConfigurationSlopes.js';
import {measureIdleEntries, toCpuSamples, type IdleEntry} from './IdleDaemons.js';
import {fitLine, type Sample} from './LeastSquares.js';
import {MEMBER_SLOPES} from './MemberSlopes.js';
import {PEER_SLOPES} from './PeerSlopes.js';
import {measureProcessMemory} from './ProcessMemory.js';
import {REPLICA_SLOPES} from './ReplicaSlopes.js';
import type {SlopeDefinition} from './SlopeDefinition.js';
import {APPEND_ROWS, formatAppends} from './AppendRows.js';
import {WORKED_ROWS} from './WorkedRows.js';

/** All slopes that the page uses. */
export const SLOPE_DEFINITIONS: readonly SlopeDefinition[] = [
  ...CONFIGURATION_SLOPES,
  ...CLAIM_SLOPES,
  ...MEMBER_SLOPES,
  ...PEER_SLOPES,
  ...REPLICA_SLOPES,
];

/** Options of `runCapacityBench`. */
export interface CapacityBenchOptions {
  /** Page whose tables are replaced; absent to print only. */
  readonly pagePath?: string;
  readonly writeLine: (line: string) => void;
}

/** Measures, prints each slope with its residuals, and writes the page. */
export async function runCapacityBench({pagePath, writeLine}: CapacityBenchOptions): Promise<void> {
  const idle = await measureIdleEntries();
  const slopes: MeasuredSlope[] = [];
  for (const definition of SLOPE_DEFINITIONS) {
    const measured = await measureSlope(definition);
    writeLine(describe(measured));
    slopes.push(measured);
  }
  const rows = workOutAll(slopes);
  const memory = toTable(
    ['process, idle', 'resident MB'],
    measureProcessMemory().map(({name, residentMb}) => [name, formatNumber(residentMb, 3)]),
  );
  const tables: ReadonlyArray<readonly [string, string]> = [
    ['slopes', formatSlopes(slopes)],
    ['today', formatRows('today', rows)],
    ['replacement', formatRows('replacement', rows)],
    ['memory', memory],
    ['idle', formatIdleEntries(idle)],
    ['appends', formatAppends(APPEND_ROWS)],
  ];
  tables.forEach(([, text]) => writeLine(text));
  if (pagePath === undefined) return;
  const page = tables.reduce(
    (text, [name, table]) => replaceBetweenMarkers(text, name, table),
    readFileSync(pagePath, 'utf8'),
  );
  writeFileSync(pagePath, page);
}

/** Works out all rows from slopes as the page prints them. */
export function workOutAll(slopes: readonly MeasuredSlope[]): readonly PageRow[] {
  const byId = new Map(slopes.map(slope => [slope.definition.id, toPageSlope(slope)]));
  return WORKED_ROWS.map(row => {
    const slope = byId.get(row.slopeId);
    if (!slope) throw new Error(`no slope "${row.slopeId}"`);
    return workOut(row, slope);
  });
}

async function measureSlope(definition: SlopeDefinition): Promise<MeasuredSlope> {
  const samples: Sample[] = [];
  for (const itemCount of definition.sizes) {
    samples.push({itemCount, value: await definition.measure(itemCount)});
  }
  return {definition, samples, fit: fitLine(samples, definition.power)};
}

function describe({definition, samples, fit}: MeasuredSlope): string {
  const points = samples
    .map(({itemCount, value}) => `${itemCount}:${formatNumber(value)}`)
    .join(' ');
  const residuals = fit.residualPercents.map(percent => `${formatPercent(percent)}%`).join(' ');
  return `${definition.id} (${definition.valueUnit}) ${points} | residuals ${residuals}`;
}

function formatIdleEntries(entries: readonly IdleEntry[]): string {
  const fit = fitLine(toCpuSamples(entries));
  const rows = entries.map(({backendServers, cpuPercent, residentMb}, index) => [
    String(backendServers),
    formatNumber(cpuPercent, 3),
    formatNumber(fit.intercept + fit.slope * backendServers, 3),
    formatPercent(fit.residualPercents[index] ?? 0),
    formatNumber(residentMb, 3),
  ]);
  const line = `${formatNumber(fit.intercept, 3)} + ${formatNumber(fit.slope, 3)} a backend server`;
  return toTable(
    ['backend servers', '% of a core', 'fitted', 'residual %', 'resident MB'],
    [...rows, ['fit', line, '', '', '']],
  );
}
