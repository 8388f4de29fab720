#!/usr/bin/env node
/** Command line of the stand-ins: one subcommand for the platform and one for each kind of backend server. */
import {subcommands} from 'cmd-ts';
import {
  createSettingsCommand,
  runCommandLine,
  type RunnableCommand,
  type SettingDefinitions,
} from '../../src/settings/index.js';
import {createSeededRandom} from '../../src/utils/index.js';
import {DEFAULT_ENGINE_PROFILE, ModelEngine} from '../engine/index.js';
import {PlainService} from '../plain/index.js';
import {Platform} from '../platform/index.js';
import {createPriceList, createStartBackend} from './cloudBackends.js';
import {engineSettings, plainSettings, platformSettings} from './standinSettings.js';

type ValuesOf<Settings> = Settings extends SettingDefinitions<infer Values> ? Values : never;

interface Stoppable {
  stop(): Promise<void>;
}

const EXIT_CRASHED = 70;

const platform = createSettingsCommand<ValuesOf<typeof platformSettings>>({
  name: 'platform',
  description: 'Log service, cloud API, instance list and weight store',
  settings: platformSettings,
  run: async values => {
    const service = new Platform({
      ...values,
      ports: {
        log: values.logPort,
        cloud: values.cloudPort,
        list: values.listPort,
        weights: values.weightsPort,
      },
      prices: createPriceList(values.failureDomains, values.machineClasses),
      startBackend: createStartBackend(values),
      random: createSeededRandom(values.seed),
    });
    await service.start();
    printReadyLine({ports: service.getPorts()}, service);
  },
});

const engine = createSettingsCommand<ValuesOf<typeof engineSettings>>({
  name: 'engine',
  description: 'A model engine',
  settings: engineSettings,
  run: async values => {
    const service = new ModelEngine({
      ...values,
      identity: values,
      profile: {...DEFAULT_ENGINE_PROFILE, ...values},
      isColdAtStart: values.cold,
      honoursFencingTokens: values.honoursFencing,
      random: createSeededRandom(values.seed),
      onDown: exitAfterShutdown,
    });
    await service.start();
    printReadyLine({port: service.getPort()}, service);
  },
});

const plain = createSettingsCommand<ValuesOf<typeof plainSettings>>({
  name: 'plain',
  description: 'A plain service with bookings',
  settings: plainSettings,
  run: async values => {
    const service = new PlainService({
      ...values,
      identity: values,
      random: createSeededRandom(values.seed),
      onDown: exitAfterShutdown,
    });
    await service.start();
    printReadyLine({port: service.getPort()}, service);
  },
});

function exitAfterShutdown(reason: 'crashed' | 'instance-removed'): void {
  process.exit(reason === 'crashed' ? EXIT_CRASHED : 0);
}

function printReadyLine(fields: object, service: Stoppable): void {
  process.stdout.write(`${JSON.stringify({ready: true, ...fields})}\n`);
  const stop = () => {
    void service.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

const binary = subcommands({
  name: 'buckthorn-standin',
  description: 'Small stand-ins of the systems around buckthorngw, with faults and a ledger',
  cmds: {platform, engine, plain} as never,
}) as unknown as RunnableCommand;

await runCommandLine(binary, process.argv.slice(2));
