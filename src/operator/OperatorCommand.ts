/** Builds buckthornctl's commands from settings, which every binary parses in the same way, flags and arguments. */
import {command, flag, option, optional, positional, string} from 'cmd-ts';
import {
  parseSetting,
  type RunnableCommand,
  type SettingDefinition,
  type SettingDefinitions,
} from '../settings/index.js';

/** Options of `createOperatorCommand`. */
export interface OperatorCommandOptions<
  Values extends object,
  Flag extends string,
  Argument extends string,
> {
  readonly name: string;
  readonly description: string;
  /** Options with a value, each of which may also be set by an environment variable. */
  readonly settings: SettingDefinitions<Values>;
  /** Descriptions of the boolean flags by name. */
  readonly flags: Readonly<Record<Flag, string>>;
  /** Descriptions of the positional arguments by name, in their order; all are required. */
  readonly commandArguments: Readonly<Record<Argument, string>>;
  /** Runs the command; an error that it throws becomes the exit code and message of the process. */
  readonly run: (
    values: Values &
      Readonly<Record<Flag, boolean>> & {
        readonly commandArguments: Readonly<Record<Argument, string>>;
      },
  ) => Promise<void>;
}

/** Raw values of options, flags and arguments by name, as cmd-ts passes them to the handler. */
type ParsedArguments = {readonly [name: string]: unknown};

/** Builds a command that parses its settings before it runs. */
export function createOperatorCommand<
  Values extends object,
  Flag extends string = never,
  Argument extends string = never,
>(options: OperatorCommandOptions<Values, Flag, Argument>): RunnableCommand {
  const settings = Object.entries(options.settings) as Array<[string, SettingDefinition<unknown>]>;
  const flags = Object.entries(options.flags) as Array<[Flag, string]>;
  const commandArguments = Object.entries(options.commandArguments) as Array<[Argument, string]>;
  const built = command({
    name: options.name,
    description: options.description,
    args: Object.fromEntries([
      ...commandArguments.map(([name, description]) => [
        name,
        positional({type: string, displayName: name, description}),
      ]),
      ...settings.map(([name, definition]) => [name, createOption(definition)]),
      ...flags.map(([name, description]) => [name, flag({long: name, description})]),
    ]),
    handler: async (parsedArguments: ParsedArguments) => {
      const values = settings.map(([name, definition]) => [
        name,
        parseSetting(definition, parsedArguments[name] as string | undefined),
      ]);
      const flagEntries = flags.map(([name]) => [name, parsedArguments[name] === true]);
      const argumentEntries = commandArguments.map(([name]) => [name, parsedArguments[name]]);
      await options.run({
        ...Object.fromEntries([...values, ...flagEntries]),
        commandArguments: Object.fromEntries(argumentEntries),
      } as Parameters<typeof options.run>[0]);
    },
  });
  return built as unknown as RunnableCommand;
}

function createOption({
  flag: long,
  variable,
  description,
  defaultText,
}: SettingDefinition<unknown>) {
  const defaultNote = defaultText === undefined ? '' : ` [default: ${defaultText || 'none'}]`;
  return option({
    type: optional(string),
    long,
    env: variable,
    description: description + defaultNote,
  });
}
