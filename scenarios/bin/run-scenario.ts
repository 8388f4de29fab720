/** `npm run scenario -- FILE ...`: runs scenarios; the exit status is the verdict. `--list` shows what each proves. */
import {readdir} from 'node:fs/promises';
import {basename, join} from 'node:path';
import {readScenario, ScenarioError} from '../language/index.js';
import {runScenario} from '../runner/index.js';

const FOLDER = 'scenarios';
const EXIT_FAILED = 1;
const EXIT_BAD_USE = 2;

async function main(args: readonly string[]): Promise<void> {
  if (args.includes('--list')) {
    await list();
    return;
  }
  if (args.length === 0 || args.some(arg => arg.startsWith('-'))) {
    print('Usage: npm run scenario -- FILE ... | --list');
    process.exitCode = EXIT_BAD_USE;
    return;
  }
  for (const path of args) await run(path);
}

async function list(): Promise<void> {
  const names = (await readdir(FOLDER)).filter(name => name.endsWith('.yaml')).sort();
  for (const name of names) {
    const {property} = await readScenario(join(FOLDER, name));
    print(`${name}: ${property}`);
  }
}

async function run(path: string): Promise<void> {
  const scenario = await readScenario(path);
  print(`${basename(path)}: ${scenario.property}`);
  const {verdicts, isPassed, folder} = await runScenario(scenario, print);
  for (const {name, findings} of verdicts) {
    print(`${findings.length === 0 ? 'ok    ' : 'FAILED'} ${name}`);
    for (const finding of findings.slice(0, MAX_SHOWN)) print(`       ${finding}`);
    if (findings.length > MAX_SHOWN) print(`       and ${findings.length - MAX_SHOWN} more`);
  }
  print(isPassed ? 'PASSED' : `FAILED; ledgers and logs are in ${folder}`);
  if (!isPassed) process.exitCode = EXIT_FAILED;
}

const MAX_SHOWN = 5;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

try {
  await main(process.argv.slice(2));
} catch (error) {
  print(error instanceof Error ? error.message : String(error));
  process.exitCode = error instanceof ScenarioError ? EXIT_BAD_USE : EXIT_FAILED;
}
