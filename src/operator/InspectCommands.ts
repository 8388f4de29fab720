/** `buckthornctl instances` and `buckthornctl stats`: the platform's instance list and the metrics of the entries. */
import type {Instance} from '../blackboard/index.js';
import type {RunnableCommand} from '../settings/index.js';
import type {EntryResponse, EntryMetric} from './DaemonsClient.js';
import {createOperatorCommand} from './OperatorCommand.js';
import {withDaemonsClient, type OperatorContext} from './OperatorContext.js';
import {DAEMONS_SETTINGS, JSON_FLAG} from './OperatorSettings.js';
import {formatDuration, formatTable, type Cell} from './formatTable.js';

/** Builds the `instances` command, which shows the platform's instance list. */
export function createInstancesCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'instances',
    description: "Shows the platform's instance list, which may be some seconds old",
    settings: DAEMONS_SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {},
    run: async settings => {
      const {instances, readAtMs} = await withDaemonsClient(settings, client =>
        client.getInstances(),
      );
      if (settings.json) {
        context.writeLine(JSON.stringify(instances, undefined, 2));
        return;
      }
      const nowMs = context.getNowMs();
      const headings = [
        'INSTANCE',
        'ROLE',
        'ADDRESS',
        'FAILURE DOMAIN',
        'CLASS',
        'MARKET',
        'STATE',
      ];
      const rows = instances.map(instance => toInstanceRow(instance, nowMs));
      formatTable([...headings, 'SERVICE'], rows).forEach(context.writeLine);
      context.writeProgress(
        `${instances.length} instances as of ${formatDuration(nowMs - readAtMs)} ago`,
      );
    },
  });
}

/** Builds the `stats` command, which shows the merged metrics of all entries. */
export function createStatsCommand(context: OperatorContext): RunnableCommand {
  return createOperatorCommand({
    name: 'stats',
    description: "Shows the entries' counters and histograms by workspace and request class",
    settings: DAEMONS_SETTINGS,
    flags: JSON_FLAG,
    commandArguments: {},
    run: async settings => {
      const responses = await withDaemonsClient(settings, client => client.getEntryMetrics());
      if (settings.json) {
        context.writeLine(JSON.stringify(responses, undefined, 2));
        return;
      }
      formatMetrics(responses).forEach(context.writeLine);
      for (const {instance, problem} of responses) {
        if (problem !== undefined) context.writeProgress(`${instance.instanceId}: ${problem}`);
      }
    },
  });
}

/**
 * Formats the metrics of all entries as two tables. Counts are summed. A quantile is the maximum over the entries,
 * because exact quantiles of the merged histograms can't be computed from the entries' quantiles.
 * @param responses - One response for each entry; entries that failed to respond are left out.
 */
export function formatMetrics(
  responses: ReadonlyArray<EntryResponse<readonly EntryMetric[]>>,
): readonly string[] {
  const metrics = mergeMetrics(responses.flatMap(({answer}) => answer ?? []));
  const counters = metrics.filter(({p50}) => p50 === undefined);
  const histograms = metrics.filter(({p50}) => p50 !== undefined);
  return [
    ...formatTable(
      ['COUNTER', 'WORKSPACE', 'CLASS', 'OTHER', 'COUNT'],
      counters.map(metric => [...toLabelCells(metric), metric.count]),
    ),
    '',
    ...formatTable(
      ['HISTOGRAM MS', 'WORKSPACE', 'CLASS', 'OTHER', 'COUNT', 'P50', 'P95', 'P99', 'MAX'],
      histograms.map(metric => [
        ...toLabelCells(metric),
        metric.count,
        metric.p50 ?? 0,
        metric.p95 ?? 0,
        metric.p99 ?? 0,
        metric.max ?? 0,
      ]),
    ),
  ];
}

function mergeMetrics(metrics: readonly EntryMetric[]): readonly EntryMetric[] {
  const merged = new Map<string, EntryMetric>();
  for (const metric of metrics) {
    const id = toLabelCells(metric).join('|');
    const sameMetric = merged.get(id);
    merged.set(id, sameMetric ? mergeMetric(sameMetric, metric) : metric);
  }
  return [...merged.keys()].sort().flatMap(id => merged.get(id) ?? []);
}

function mergeMetric(a: EntryMetric, b: EntryMetric): EntryMetric {
  const max = (x: number | undefined, y: number | undefined) =>
    x === undefined && y === undefined ? undefined : Math.max(x ?? 0, y ?? 0);
  return {
    ...a,
    count: a.count + b.count,
    p50: max(a.p50, b.p50),
    p95: max(a.p95, b.p95),
    p99: max(a.p99, b.p99),
    max: max(a.max, b.max),
  };
}

/** Returns the first four cells of a metric's row; metrics with the same cells are merged. */
function toLabelCells({name, tags}: EntryMetric): readonly Cell[] {
  const {workspace = '', class: plainClass, requestClass, ...otherTags} = tags;
  const otherLabels = Object.entries(otherTags)
    .filter(([label]) => label !== 'instanceId')
    .map(([label, value]) => `${label}=${value}`)
    .join(' ');
  return [name, workspace, requestClass ?? plainClass ?? '', otherLabels];
}

function toInstanceRow(instance: Instance, nowMs: number): readonly Cell[] {
  const {leavingAtMs, service, version} = instance;
  const leaving = leavingAtMs === undefined ? '' : ` in ${formatDuration(leavingAtMs - nowMs)}`;
  return [
    instance.instanceId,
    instance.role,
    `${instance.address}:${instance.port}`,
    instance.failureDomain,
    instance.machineClass,
    instance.market,
    instance.state + leaving,
    service === undefined ? '' : `${service} ${version ?? ''}`,
  ];
}
