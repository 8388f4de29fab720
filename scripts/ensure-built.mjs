/** Installs and builds what is missing or older than its sources, so that a fresh clone needs one command. */
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import {join, dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const COMPILER = join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc');

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
