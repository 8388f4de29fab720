#!/usr/bin/env node
/** Open-loop load and experiments: the same mix under several routing policies, with a report. */
import {writeFile} from 'node:fs/promises';
import {
  checkLoadSettings,
  createHtml,
  createMarkdown,
  loadSettings,
  PolicyComparison,
  readMix,
  type LoadSettings,
} from '../load/index.js';
import {createSettingsCommand, runCommandLine} from '../settings/index.js';

async function runComparison(settings: LoadSettings): Promise<void> {
  const {mixPath, reportPath, seed} = settings;
  const mix = await readMix(mixPath);
  const reports = await new PolicyComparison(settings, mix, Date.now).run();
  process.stdout.write(`${createMarkdown(reports)}\n`);
  if (reportPath === undefined) return;
  await writeFile(reportPath, createHtml(`Load of ${mixPath} with seed ${seed}`, reports));
}

await runCommandLine(
  createSettingsCommand<LoadSettings>({
    name: 'buckthorn-load',
    description: 'Sends a mix of requests at its own pace and compares routing policies',
    settings: loadSettings,
    check: checkLoadSettings,
    run: runComparison,
  }),
  process.argv.slice(2),
);
