#!/usr/bin/env node
/** Prints the measurements of the request path: `node dist/bench/request/run-request.js [calls|streams|routing]`. */
import {command, number, option, restPositionals, string} from 'cmd-ts';
import {runCommandLine, type RunnableCommand} from '../../src/settings/index.js';
import {measureCalls, measureStreams} from './measureOverhead.js';
import {measureRouting} from './measureRouting.js';

const ROUTING_DURATION_MS = 10_000;

const runRequest = command({
  name: 'run-request',
  description: 'Measurements of the request path, all of them where none is named',
  args: {
    asked: restPositionals({type: string, displayName: 'calls|streams|routing'}),
    durationMs: option({
      type: number,
      long: 'duration-ms',
      description: 'Length of the load of each of the nine runs of `routing`',
      defaultValue: () => ROUTING_DURATION_MS,
    }),
  },
  handler: async ({asked, durationMs}) => {
    const measurements: Readonly<Record<string, () => Promise<readonly object[]>>> = {
      calls: measureCalls,
      streams: measureStreams,
      routing: () => measureRouting(durationMs),
    };
    for (const [name, measure] of Object.entries(measurements)) {
      if (asked.length > 0 && !asked.includes(name)) continue;
      process.stdout.write(`${name}\n`);
      for (const row of await measure()) process.stdout.write(`  ${JSON.stringify(row)}\n`);
    }
  },
}) as unknown as RunnableCommand;

await runCommandLine(runRequest, process.argv.slice(2));
