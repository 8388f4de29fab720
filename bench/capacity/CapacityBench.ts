/** Measures how costs grow with size, extrapolates them to the target size and writes the tables of docs/CAPACITY.md. */
import {readFileSync, writeFileSync} from 'node:fs';
import {
  formatNumber,
  formatPercent,
  formatRows,
  formatSlopes,
  replaceBetweenMarkers,
  roundSlope,
  toTable,
  computeRow,
  type MeasuredSlope,
  type ComputedRow,
} from './CapacityPage.js';
import {CLAIM_SLOPES} from './ClaimSlopes.js';
import {CONFIGURATION_SLOPES} from './ConfigurationSlopes.js';
import {measureIdleEntries, toCpuSamples, type IdleEntry} from './IdleEntries.js';
import {fitLine, type Sample} from './LeastSquares.js';
import {MEMBER_SLOPES} from './MemberSlopes.js';
import {PEER_SLOPES} from './PeerSlopes.js';
import {measureProcessMemory} from './ProcessMemory.js';
import {REPLICA_SLOPES} from './ReplicaSlopes.js';
import type {SlopeDefinition} from './SlopeDefinition.js';
import {APPEND_ROWS, formatAppends} from './AppendRows.js';
import {CAPACITY_ROWS} from './CapacityRows.js';

/** All measured quantities that the page uses, in the order of its table. */
export const SLOPE_DEFINITIONS: readonly SlopeDefinition[] = [
  ...CONFIGURATION_SLOPES,
  ...CLAIM_SLOPES,
  ...MEMBER_SLOPES,
  ...PEER_SLOPES,
  ...REPLICA_SLOPES,
];

/** Options of `runCapacityBench`. */
export interface CapacityBenchOptions {
  /** Path of the page whose tables are replaced; if undefined, the tables are only printed. */
  readonly pagePath?: string;
  readonly writeLine: (line: string) => void;
}

/** Measures every slope, prints it with its residuals, and prints the tables or writes them into the page. */
export async function runCapacityBench({pagePath, writeLine}: CapacityBenchOptions): Promise<void> {
  const idle = await measureIdleEntries();
  const slopes: MeasuredSlope[] = [];
  for (const definition of SLOPE_DEFINITIONS) {
    const measured = await measureSlope(definition);
    writeLine(formatMeasurement(measured));
    slopes.push(measured);
  }
  const rows = computeRows(slopes);
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

/** Computes all capacity rows, from the slopes rounded as on the page; throws if a row names an unknown slope. */
export function computeRows(slopes: readonly MeasuredSlope[]): readonly ComputedRow[] {
  const byId = new Map(slopes.map(slope => [slope.definition.id, roundSlope(slope)]));
  return CAPACITY_ROWS.map(row => {
    const slope = byId.get(row.slopeId);
    if (!slope) throw new Error(`capacity row refers to unknown slope "${row.slopeId}"`);
    return computeRow(row, slope);
  });
}

async function measureSlope(definition: SlopeDefinition): Promise<MeasuredSlope> {
  const samples: Sample[] = [];
  for (const itemCount of definition.sizes) {
    samples.push({itemCount, value: await definition.measure(itemCount)});
  }
  return {definition, samples, fit: fitLine(samples, definition.power)};
}

function formatMeasurement({definition, samples, fit}: MeasuredSlope): string {
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
