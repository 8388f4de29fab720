#!/usr/bin/env node
/** Runs measurements of the request path and prints their results: `node dist/bench/request/run-request.js [calls|streams|routing]`. */
import {command, number, option, restPositionals, string} from 'cmd-ts';
import {runCommandLine, type RunnableCommand} from '../../src/settings/index.js';
import {measureCalls, measureStreams} from './measureOverhead.js';
import {measureRouting} from './measureRouting.js';

const ROUTING_DURATION_MS = 10_000;

const runRequest = command({
  name: 'run-request',
  description: 'Measures the request path; without arguments, runs all measurements',
  args: {
    selected: restPositionals({type: string, displayName: 'calls|streams|routing'}),
    durationMs: option({
      type: number,
      long: 'duration-ms',
      description: 'Duration in milliseconds of the load in each of the nine runs of `routing`',
      defaultValue: () => ROUTING_DURATION_MS,
    }),
  },
  handler: async ({selected, durationMs}) => {
    const measurements: Readonly<Record<string, () => Promise<readonly object[]>>> = {
      calls: measureCalls,
      streams: measureStreams,
      routing: () => measureRouting(durationMs),
    };
    for (const [name, measure] of Object.entries(measurements)) {
      if (selected.length > 0 && !selected.includes(name)) continue;
      process.stdout.write(`${name}\n`);
      for (const row of await measure()) process.stdout.write(`  ${JSON.stringify(row)}\n`);
    }
  },
}) as unknown as RunnableCommand;

await runCommandLine(runRequest, process.argv.slice(2));
