#!/usr/bin/env node
/** Entry point of the command-line client for operators. */
import {createInterface} from 'node:readline';
import {subcommands} from 'cmd-ts';
import {
  createConfigurationCommands,
  createDomainCommands,
  createEventsCommand,
  createExplainCommand,
  createInstancesCommand,
  createMoveCommands,
  createQuestionnaireCommand,
  createStatsCommand,
  type OperatorContext,
} from '../operator/index.js';
import {runCommandLine, type RunnableCommand} from '../settings/index.js';

/** Iterator over the lines of standard input, shared by all prompts so that no line of piped input is lost. */
let lines: AsyncIterator<string> | undefined;

async function ask(prompt: string): Promise<string | undefined> {
  process.stderr.write(prompt);
  lines ??= createInterface({input: process.stdin})[Symbol.asyncIterator]();
  const {value, done} = await lines.next();
  return done ? undefined : value;
}

const context: OperatorContext = {
  getNowMs: Date.now,
  ask,
  writeLine: line => void process.stdout.write(`${line}\n`),
  writeProgress: line => void process.stderr.write(`${line}\n`),
};

const commands = subcommands({
  name: 'buckthornctl',
  description:
    "The operators' client of buckthorngw. Exit codes: 0 done, 1 failed, refused or rolled back, 2 invalid settings or answers.",
  cmds: {
    questionnaire: createQuestionnaireCommand(context),
    config: createConfigurationCommands(context),
    move: createMoveCommands(context),
    domain: createDomainCommands(context),
    instances: createInstancesCommand(context),
    stats: createStatsCommand(context),
    events: createEventsCommand(context),
    explain: createExplainCommand(context),
  },
}) as unknown as RunnableCommand;

await runCommandLine(commands, process.argv.slice(2));
process.stdin.destroy();
