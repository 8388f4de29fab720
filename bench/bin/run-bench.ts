#!/usr/bin/env node
/** Runs the project's measurements: `npm run bench -- capacity`. */
import {command, flag, subcommands} from 'cmd-ts';
import {runCapacityBench} from '../capacity/index.js';
import {runCommandLine, type RunnableCommand} from '../../src/settings/index.js';

const PAGE_PATH = 'docs/CAPACITY.md';

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
          writeLine: line => void process.stdout.write(`${line}\n`),
        }),
    }),
  },
}) as unknown as RunnableCommand;

await runCommandLine(commands, process.argv.slice(2));
