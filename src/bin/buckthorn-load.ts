#!/usr/bin/env node
/** Entry point of the load generator, which sends a reproducible load to local entries and prints a report. */
import {writeFile} from 'node:fs/promises';
import {
  LOAD_SETTINGS,
  LoadRunner,
  createHtmlReport,
  createMarkdownReport,
  planLoad,
  type LoadSettings,
} from '../load/index.js';
import {createSettingsCommand, runCommandLine} from '../settings/index.js';

async function runLoad(settings: LoadSettings): Promise<void> {
  const {reportPath, firstTokenTargetMs} = settings;
  const planned = planLoad(settings);
  const startedAtMs = Date.now();
  const runner = new LoadRunner({...settings, getNowMs: Date.now});
  const result = await runner.run(planned);
  const report = {
    title: 'buckthorn-load',
    command: `buckthorn-load --seed ${settings.seed} --duration-ms ${settings.durationMs}`,
    loads: [
      {
        name: `seed ${settings.seed}`,
        summaries: result.getSummaries(),
        seconds: result.getSeconds(startedAtMs, firstTokenTargetMs),
      },
    ],
  };
  process.stdout.write(`${createMarkdownReport(report)}\n`);
  if (reportPath !== '') await writeFile(reportPath, createHtmlReport(report));
}

await runCommandLine(
  createSettingsCommand({
    name: 'buckthorn-load',
    description:
      'Sends a seeded open-loop load to entries on this machine and reports what came back',
    settings: LOAD_SETTINGS,
    run: runLoad,
  }),
  process.argv.slice(2),
);
