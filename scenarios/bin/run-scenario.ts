/** `npm run scenario -- FILE ...`: runs scenarios; exits with 1 if one fails. `--list` lists the property that each verifies. */
import {readdir} from 'node:fs/promises';
import {basename, join} from 'node:path';
import {readScenario, ScenarioError} from '../language/index.js';
import {runScenario} from '../runner/index.js';

const SCENARIO_FOLDER = 'scenarios';
const EXIT_FAILED = 1;
const EXIT_USAGE_ERROR = 2;

async function main(args: readonly string[]): Promise<void> {
  if (args.includes('--list')) {
    await listScenarios();
    return;
  }
  if (args.length === 0 || args.some(arg => arg.startsWith('-'))) {
    print('Usage: npm run scenario -- FILE ... | --list');
    process.exitCode = EXIT_USAGE_ERROR;
    return;
  }
  for (const path of args) await runScenarioFile(path);
}

async function listScenarios(): Promise<void> {
  const names = (await readdir(SCENARIO_FOLDER)).filter(name => name.endsWith('.yaml')).sort();
  for (const name of names) {
    const {property} = await readScenario(join(SCENARIO_FOLDER, name));
    print(`${name}: ${property}`);
  }
}

async function runScenarioFile(path: string): Promise<void> {
  const scenario = await readScenario(path);
  print(`${basename(path)}: ${scenario.property}`);
  const {results, isPassed, folder} = await runScenario(scenario, print);
  for (const {name, violations} of results) {
    print(`${violations.length === 0 ? 'ok    ' : 'FAILED'} ${name}`);
    for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS))
      print(`       ${violation}`);
    if (violations.length > MAX_PRINTED_VIOLATIONS)
      print(`       and ${violations.length - MAX_PRINTED_VIOLATIONS} more`);
  }
  print(isPassed ? 'PASSED' : `FAILED; ledgers and logs are in ${folder}`);
  if (!isPassed) process.exitCode = EXIT_FAILED;
}

const MAX_PRINTED_VIOLATIONS = 5;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

try {
  await main(process.argv.slice(2));
} catch (error) {
  print(error instanceof Error ? error.message : String(error));
  process.exitCode = error instanceof ScenarioError ? EXIT_USAGE_ERROR : EXIT_FAILED;
}
