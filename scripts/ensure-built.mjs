/**
 * Installs the packages if the compiler is missing, and compiles what has changed since the last build, so that a fresh
 * clone needs one command.
 */
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import {join, dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const COMPILER = join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc');

/** Runs a command at the root of the repository; exits with the command's status if it fails. */
function run(command, args) {
  try {
    execFileSync(command, args, {cwd: ROOT, stdio: ['ignore', 'inherit', 'inherit']});
  } catch (error) {
    console.error(`${command} ${args.join(' ')} failed`);
    process.exit(error.status ?? 1);
  }
}

if (!existsSync(COMPILER)) {
  console.log('Installing packages (npm ci) ...');
  run('npm', ['ci']);
}
console.log('Building ...');
run(process.execPath, [COMPILER, '-p', 'tsconfig.json', '--pretty', 'false']);
