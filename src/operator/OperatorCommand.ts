/** Builds buckthornctl's commands: settings as in every binary, and flags and arguments beside them. */
import {command, flag, option, optional, positional, string} from 'cmd-ts';
import {
  parseSetting,
  type RunnableCommand,
  type SettingDefinition,
  type SettingDefinitions,
} from '../settings/index.js';

/** What a command is called, takes and does. */
export interface OperatorCommandOptions<
  Values extends object,
  Flag extends string,
  Argument extends string,
> {
  readonly name: string;
  readonly description: string;
  readonly settings: SettingDefinitions<Values>;
  /** Flags without a value, with their descriptions. */
  readonly flags: Readonly<Record<Flag, string>>;
  /** Arguments without a flag, with their descriptions; all must be given. */
  readonly commandArguments: Readonly<Record<Argument, string>>;
  readonly run: (
    values: Values &
      Readonly<Record<Flag, boolean>> & {
        readonly commandArguments: Readonly<Record<Argument, string>>;
      },
  ) => Promise<void>;
}

/** Options and arguments as cmd-ts gives them, by name. */
type GivenTexts = {readonly [name: string]: unknown};

/** Builds a command. */
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
    handler: async (given: GivenTexts) => {
      const values = settings.map(([name, definition]) => [
        name,
        parseSetting(definition, given[name] as string | undefined),
      ]);
      const flagValues = flags.map(([name]) => [name, given[name] === true]);
      const argumentValues = commandArguments.map(([name]) => [name, given[name]]);
      await options.run({
        ...Object.fromEntries([...values, ...flagValues]),
        commandArguments: Object.fromEntries(argumentValues),
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
  const fallback = defaultText === undefined ? '' : ` [default: ${defaultText || 'none'}]`;
  return option({
    type: optional(string),
    long,
    env: variable,
    description: description + fallback,
  });
}
