#!/usr/bin/env node
/** Entry point of the fleet daemon. One runs on every entry instance; the lease holder manages the fleet. */
import {FleetDaemon, fleetSettings, type FleetSettings} from '../fleet/index.js';
import {createSettingsCommand, runCommandLine} from '../settings/index.js';

await runCommandLine(
  createSettingsCommand<FleetSettings>({
    name: 'buckthorn-fleet',
    description: 'Runs version moves, failure domains and capacity under one lease',
    settings: fleetSettings,
    run: async settings => {
      const daemon = new FleetDaemon(settings);
      daemon.start();
      printReadyLine(settings, daemon.getIncarnation());
      await waitForStopSignal();
      await daemon.stop();
    },
  }),
  process.argv.slice(2),
);

/** Resolves at the first SIGTERM or SIGINT. A second signal of the same kind terminates the process immediately. */
function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

function printReadyLine({instanceId, failureDomain}: FleetSettings, incarnation: string): void {
  const line = {ready: true, instanceId, failureDomain, incarnation};
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
