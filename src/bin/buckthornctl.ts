#!/usr/bin/env node
/** The operators' client. */
import {subcommands} from 'cmd-ts';
import {
  createConfigurationCommands,
  createQuestionnaireCommand,
  type OperatorContext,
} from '../operator/index.js';
import {runCommandLine, type RunnableCommand} from '../settings/index.js';

const context: OperatorContext = {
  getNowMs: Date.now,
  writeLine: line => process.stdout.write(`${line}\n`),
  writeProgress: line => process.stderr.write(`${line}\n`),
};

const commands = subcommands({
  name: 'buckthornctl',
  description: "The operators' client of buckthorngw",
  cmds: {
    questionnaire: createQuestionnaireCommand(context),
    config: createConfigurationCommands(context),
  },
}) as unknown as RunnableCommand;

await runCommandLine(commands, process.argv.slice(2));
