#!/usr/bin/env node
/** Command line of the measurements, for example `npm run bench -- capacity`. */
import {command, flag, number, option, string, subcommands} from 'cmd-ts';
import {writeFile} from 'node:fs/promises';
import {measureAdmission} from '../admission/index.js';
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
import {measureGossip} from '../gossip/index.js';
import {measureMissingBackend, measureTableSwap} from '../related/index.js';
import {measureRollouts} from '../rollouts/index.js';
import {
  createHtmlReport,
  createMarkdownReport,
  createReportMarkdown,
  createReportPage,
  type ExperimentReport,
} from '../../src/load/index.js';
import {runCommandLine, type RunnableCommand} from '../../src/settings/index.js';

const GOSSIP_FLEET_SIZES = [7, 18, 91, 195, 300];
const ADMISSION_QUEUE_SIZES = [100, 1_000, 10_000];
const PAGE_PATH = 'docs/CAPACITY.md';

function runAdmission(): void {
  writeLine('waiting | added, us | next admitted, us | added to a full queue, us');
  for (const times of measureAdmission(ADMISSION_QUEUE_SIZES)) {
    const {waiting, addMicros, completeMicros, fullMicros} = times;
    const columns = [addMicros, completeMicros, fullMicros].map(micros => micros.toFixed(2));
    writeLine(`${waiting} | ${columns.join(' | ')}`);
  }
}

async function runRelated(): Promise<void> {
  const {serverCounts, swapMicros, inPlaceMicros, swapFit} = measureTableSwap();
  writeLine('backend servers | table replaced, us | changed in place, us');
  serverCounts.forEach((count, index) =>
    writeLine(`${count} | ${swapMicros[index]?.toFixed(2)} | ${inPlaceMicros[index]?.toFixed(2)}`),
  );
  writeLine(`residuals % ${swapFit.residualPercents.map(percent => percent.toFixed(1)).join(' ')}`);
  for (const {status, callers, answeredCallers} of await measureMissingBackend()) {
    writeLine(
      `status ${status} without a backend server: ${answeredCallers} of ${callers} callers served in the end`,
    );
  }
}

function runGossip(): void {
  writeLine('gateways | datagrams/s | bytes/s | most datagrams/s | most bytes/s | processor ms/s');
  for (const size of GOSSIP_FLEET_SIZES) {
    const row = measureGossip(size);
    const rates = [
      row.datagramsPerSecond,
      row.bytesPerSecond,
      row.maxDatagramsPerSecond,
      row.maxBytesPerSecond,
    ];
    const columns = [size, ...rates.map(Math.round), row.processorMsPerSecond.toFixed(2)];
    writeLine(columns.join(' | '));
  }
}

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const seedOption = option({type: number, long: 'seed', defaultValue: () => 1});
const reportOption = option({
  type: string,
  long: 'report',
  description: 'Path of the HTML report; none is written by default',
  defaultValue: () => '',
});

async function printReport(report: ExperimentReport, path: string): Promise<void> {
  writeLine(createReportMarkdown(report));
  if (path !== '') await writeFile(path, createReportPage(report));
}

const commands = subcommands({
  name: 'bench',
  description: 'Measurements that depend on this machine; tests never check their results',
  cmds: {
    capacity: command({
      name: 'capacity',
      description: `Measures the slopes of ${PAGE_PATH} and writes its tables`,
      args: {dry: flag({long: 'dry', description: 'Prints the tables without writing the page'})},
      handler: ({dry}) =>
        runCapacityBench({
          pagePath: dry ? undefined : PAGE_PATH,
          writeLine,
        }),
    }),
    gossip: command({
      name: 'gossip',
      description: 'Plays the gossip of fleets of several sizes in virtual time',
      args: {},
      handler: runGossip,
    }),
    admission: command({
      name: 'admission',
      description: 'Measures the decisions of the admission queue with many waiting requests',
      args: {},
      handler: runAdmission,
    }),
    related: command({
      name: 'related',
      description:
        'Compares ways to update the server table, and status codes for a route without backend servers',
      args: {},
      handler: runRelated,
    }),
    rollouts: command({
      name: 'rollouts',
      description: 'Plays short roll-outs of good and bad versions over simulated fleets',
      args: {
        seed: seedOption,
        seeds: option({type: number, long: 'seeds', defaultValue: () => 20}),
        gateways: option({type: number, long: 'gateways', defaultValue: () => 7}),
      },
      handler: async ({seed, seeds, gateways}) => {
        const rows = await measureRollouts({gatewayCount: gateways, firstSeed: seed, seeds});
        writeLine(
          '| version | wrong verdicts, not by the deadline | over the limits | exposed, median-most | bad responses, median-most |',
        );
        writeLine('|---|---|---|---|---|');
        for (const row of rows) {
          const verdicts = `${row.wrong}, ${row.notByDeadline} of ${row.plays}`;
          const exposed = `${row.exposedMedian}-${row.exposedMost}`;
          const bad = `${row.badMedian}-${row.badMost}`;
          writeLine(`| ${row.name} | ${verdicts} | ${row.overLimit} | ${exposed} | ${bad} |`);
        }
      },
    }),
    moves: command({
      name: 'moves',
      description: 'Compares moves by evidence with a linear ramp, for good and faulty versions',
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
        return printReport(createMovesReport(records, bench), report);
      },
    }),
    cost: command({
      name: 'cost',
      description:
        'Compares fleet cost at the latency target, and tokens recomputed by routing policies',
      args: {seed: seedOption, report: reportOption},
      handler: ({seed, report}) => {
        const bench = `npm run bench -- cost --seed ${seed}`;
        return printReport(createCostReport(runCostExperiment(seed), bench), report);
      },
    }),
    'leaving-domain': command({
      name: 'leaving-domain',
      description:
        'Measures responses to callers while a failure domain leaves and returns, with and without spare engines',
      args: {
        seed: seedOption,
        report: reportOption,
      },
      handler: async ({seed, report}) => {
        const loads = await runLeavingDomain({seed, writeLine});
        const bench = `npm run bench -- leaving-domain --seed ${seed}`;
        const options = createLeavingDomainReport(loads, LEAVING_DOMAIN_TIMES, bench);
        process.stdout.write(`${createMarkdownReport(options)}\n`);
        if (report !== '') await writeFile(report, createHtmlReport(options));
      },
    }),
  },
}) as unknown as RunnableCommand;

await runCommandLine(commands, process.argv.slice(2));
