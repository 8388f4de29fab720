#!/usr/bin/env node
/** Entry point of the entry daemon, which serves callers until a signal or a stop notice in the instance list. */
import {
  ENTRY_SETTINGS,
  EntryDaemon,
  checkEntrySettings,
  type EntrySettings,
} from '../entry/index.js';
import {createLogger} from '../logging/index.js';
import {createSettingsCommand, runCommandLine} from '../settings/index.js';
import {waitForStopSignal} from '../utils/index.js';

async function runEntry(settings: EntrySettings): Promise<void> {
  const {instanceId, logLevel} = settings;
  const logger = createLogger({name: 'buckthorn-entry', instanceId, level: logLevel});
  const daemon = new EntryDaemon({settings, logger});
  await daemon.start();
  const ready = {ready: true, instanceId, port: daemon.getPort(), peerPort: daemon.getPeerPort()};
  process.stdout.write(`${JSON.stringify(ready)}\n`);
  await Promise.race([waitForStopSignal(), daemon.waitForStopNotice()]);
  await daemon.stop();
}

await runCommandLine(
  createSettingsCommand({
    name: 'buckthorn-entry',
    description: "Serves callers' requests on one entry instance",
    settings: ENTRY_SETTINGS,
    check: checkEntrySettings,
    run: runEntry,
  }),
  process.argv.slice(2),
);
