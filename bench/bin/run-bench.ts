#!/usr/bin/env node
/** Runs the project's measurements: `npm run bench -- capacity`. */
import {command, flag, number, option, string, subcommands} from 'cmd-ts';
import {writeFile} from 'node:fs/promises';
import {runCapacityBench} from '../capacity/index.js';
import {
  createCostReport,
  createLeavingDomainReport,
  LEAVING_DOMAIN_TIMES,
  createMovesReport,
  runCostExperiment,
  runLeavingDomain,
  runMovesExperiment,
} from '../experiments/index.js';
import {measureMissingBackend, measureTableSwap} from '../related/index.js';
import {
  createHtmlReport,
  createMarkdownTable,
  createReportMarkdown,
  createReportPage,
  type ExperimentReport,
} from '../../src/load/index.js';
import {runCommandLine, type RunnableCommand} from '../../src/settings/index.js';

const PAGE_PATH = 'docs/CAPACITY.md';

async function runRelated(): Promise<void> {
  const {serverCounts, swapMicros, inPlaceMicros, swapFit} = measureTableSwap();
  writeLine('backend servers | whole swap, us | in place, us');
  serverCounts.forEach((count, index) =>
    writeLine(`${count} | ${swapMicros[index]?.toFixed(2)} | ${inPlaceMicros[index]?.toFixed(2)}`),
  );
  writeLine(`residuals % ${swapFit.residualPercents.map(percent => percent.toFixed(1)).join(' ')}`);
  for (const {status, callers, answered} of await measureMissingBackend()) {
    writeLine(
      `no backend server answered with ${status}: ${answered} of ${callers} callers served`,
    );
  }
}

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const seedOption = option({type: number, long: 'seed', defaultValue: () => 1});
const reportOption = option({
  type: string,
  long: 'report',
  description: 'File for the HTML page',
  defaultValue: () => '',
});

async function showReport(report: ExperimentReport, path: string): Promise<void> {
  writeLine(createReportMarkdown(report));
  if (path !== '') await writeFile(path, createReportPage(report));
}

const commands = subcommands({
  name: 'bench',
  description: 'Measurements of this machine; never part of a verdict',
  cmds: {
    capacity: command({
      name: 'capacity',
      description: `Measures the slopes of ${PAGE_PATH} and writes its tables`,
      args: {dry: flag({long: 'dry', description: 'Prints the tables and leaves the page alone'})},
      handler: ({dry}) =>
        runCapacityBench({
          pagePath: dry ? undefined : PAGE_PATH,
          writeLine,
        }),
    }),
    related: command({
      name: 'related',
      description: 'Trials of two ideas of the related reading',
      args: {},
      handler: runRelated,
    }),
    moves: command({
      name: 'moves',
      description: 'Good and bad versions under moves by evidence and under a linear ramp',
      args: {
        seed: seedOption,
        versions: option({type: number, long: 'versions', defaultValue: () => 2}),
        maxErrorPercent: option({type: number, long: 'max-error-percent', defaultValue: () => 5}),
        report: reportOption,
      },
      handler: ({seed, versions, maxErrorPercent, report}) => {
        const records = runMovesExperiment({seed, versionsOfEachKind: versions, maxErrorPercent});
        const size = `--versions ${versions} --max-error-percent ${maxErrorPercent}`;
        const bench = `npm run bench -- moves --seed ${seed} ${size}`;
        return showReport(createMovesReport(records, bench), report);
      },
    }),
    cost: command({
      name: 'cost',
      description: 'Cost of fleets at the latency target, and tokens that routing recomputes',
      args: {seed: seedOption, report: reportOption},
      handler: ({seed, report}) => {
        const bench = `npm run bench -- cost --seed ${seed}`;
        return showReport(createCostReport(runCostExperiment(seed), bench), report);
      },
    }),
    'leaving-domain': command({
      name: 'leaving-domain',
      description:
        'What callers get while a failure domain leaves and returns, with and without a spare',
      args: {
        seed: seedOption,
        report: reportOption,
      },
      handler: async ({seed, report}) => {
        const loads = await runLeavingDomain({seed, writeLine});
        const bench = `npm run bench -- leaving-domain --seed ${seed}`;
        const options = createLeavingDomainReport(loads, LEAVING_DOMAIN_TIMES, bench);
        process.stdout.write(`${createMarkdownTable(options)}\n`);
        if (report !== '') await writeFile(report, createHtmlReport(options));
      },
    }),
  },
}) as unknown as RunnableCommand;

await runCommandLine(commands, process.argv.slice(2));
