#!/usr/bin/env node
/** Prints the measurements of the request path: `node dist/bench/request/run-request.js [calls|streams|routing]`. */
import {measureCalls, measureStreams} from './measureOverhead.js';
import {measureRouting} from './measureRouting.js';

const MEASUREMENTS = {calls: measureCalls, streams: measureStreams, routing: measureRouting};

const asked = process.argv.slice(2);
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (asked.length > 0 && !asked.includes(name)) continue;
  process.stdout.write(`${name}\n`);
  for (const row of await measure()) process.stdout.write(`  ${JSON.stringify(row)}\n`);
}
