/**
 * Runs the compiled test files, some of them in parallel, and prints `N passed, N failed` as the last line. Failures of
 * tests listed in KNOWN-RED.txt are printed but don't fail the run; every other failure does, and so do skipped tests.
 * Usage: node scripts/run-tests.mjs [FILE ...]
 * FILE is a part of a path, such as tests/operator; without one, all tests run. The files of FILES_RUN_ALONE run last.
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {cpus} from 'node:os';
import {join, dirname, relative} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const FILE_TIMEOUT_MS = 240_000;
const MS_PER_SECOND = 1_000;
/** Last lines of output that are printed for a failed file. */
const TAIL_LINES = 40;
/** Maximum lines printed for one failed assertion. */
const FAILURE_LINES = 30;
/** Maximum failed assertions printed for one file. */
const MAX_FAILURES = 10;
/** Files that run at the same time; a third of the cores, because some tests start several processes. */
const MAX_PARALLEL = Math.max(2, Math.floor(cpus().length / 3));
/** Files that run after all others, one at a time: they load the machine or measure processes under load. */
const FILES_RUN_ALONE = ['tests/platform/hostileCallers.test.ts'];

/** Returns the paths of all test files below a folder. */
function listTests(folder) {
  return readdirSync(folder).flatMap(name => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return listTests(path);
    return path.endsWith('.test.js') ? [path] : [];
  });
}

/**
 * Returns the tests listed in KNOWN-RED.txt. An entry starts with the line
 * `test: tests/x/Y.test.ts | outer name > inner name`; the lines after it describe the failure.
 */
function readKnownFailures() {
  const path = join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

/** Runs one test file; resolves with its output and exit code, which is null if it was killed after FILE_TIMEOUT_MS. */
function runFile(path) {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [path], {
      cwd: ROOT,
      // Raises tap's own timeout to the one of this runner, so that tests don't fail on a slow machine.
      env: {...process.env, TAP: '1', TAP_TIMEOUT: String(FILE_TIMEOUT_MS / MS_PER_SECOND)},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', data => (output += data));
    child.stderr.on('data', data => (output += data));
    const timer = setTimeout(() => {
      output += `\nnot ok - did not end within ${FILE_TIMEOUT_MS} ms\n`;
      child.kill('SIGKILL');
    }, FILE_TIMEOUT_MS);
    child.on('close', code => {
      clearTimeout(timer);
      resolve({path, output, code});
    });
  });
}

/**
 * Parses the TAP output of a file. Returns the results of the innermost subtests, each with the names of its enclosing
 * subtests. An enclosing subtest is included if it failed although no subtest inside it did.
 */
function readResults(output) {
  // Subtests whose end has not been read yet, outermost first.
  const stack = [];
  const results = [];
  for (const line of output.split('\n')) {
    const depth = line.match(/^\s*/)[0].length;
    const startLine = line.match(/^\s*# Subtest: (.*)$/);
    if (startLine) {
      if (stack.length > 0) stack[stack.length - 1].hasInner = true;
      stack.push({name: startLine[1], depth, hasInner: false, hasFailedInner: false});
      continue;
    }
    const innermost = stack[stack.length - 1];
    const endLine = line.match(/^\s*(not )?ok\b/);
    if (!endLine || !innermost || innermost.depth !== depth) continue;
    stack.pop();
    const isOk = endLine[1] === undefined;
    if (!innermost.hasInner || (!isOk && !innermost.hasFailedInner)) {
      const name = [...stack.map(subtest => subtest.name), innermost.name].join(' > ');
      results.push({name, isOk, isSkipped: /# (todo|skip)/i.test(line)});
    }
    if (!isOk && stack.length > 0) stack[stack.length - 1].hasFailedInner = true;
  }
  return results;
}

/** Returns the first failed assertions in the TAP output of a file, each with its diagnostics. */
function readFailures(output) {
  const lines = output.split('\n');
  const starts = lines.flatMap((line, index) => (/^\s*not ok\b/.test(line) ? [index] : []));
  return starts.slice(0, MAX_FAILURES).map(start => {
    const length = lines
      .slice(start, start + FAILURE_LINES)
      .findIndex(line => line.trim() === '...');
    return lines.slice(start, start + (length < 0 ? FAILURE_LINES : length + 1)).join('\n');
  });
}

const patterns = process.argv.slice(2);
const allFiles = listTests(join(ROOT, 'dist', 'tests'));
const selectedFiles = allFiles.filter(
  path =>
    patterns.length === 0 || patterns.some(pattern => path.includes(pattern.replace(/\.ts$/, ''))),
);
const knownFailures = readKnownFailures();
let passed = 0;
let failed = 0;
const toleratedFailures = [];

/** Returns the path of a compiled test's source, from the root of the repository. */
function getSource(path) {
  return relative(join(ROOT, 'dist'), path).replace(/\.js$/, '.ts');
}

/** Runs queued files one at a time until the queue is empty. */
async function worker(queue) {
  for (let path = queue.shift(); path !== undefined; path = queue.shift()) {
    const {output, code} = await runFile(path);
    const source = getSource(path);
    const results = readResults(output);
    const failures = results.filter(result => !result.isOk);
    const tolerated = failures.filter(result =>
      knownFailures.includes(`${source} | ${result.name}`),
    );
    // A file that fails outside any subtest, for example by a crash.
    const failuresOutsideSubtests = code !== 0 && failures.length === 0 ? 1 : 0;
    const skipped = results.filter(result => result.isSkipped).length;
    passed += results.length - failures.length;
    failed += failures.length - tolerated.length + failuresOutsideSubtests + skipped;
    toleratedFailures.push(...tolerated.map(result => `${source} | ${result.name}`));
    if (failures.length - tolerated.length + failuresOutsideSubtests + skipped > 0) {
      console.log(`FAILED ${source} (exit ${code})`);
      console.log(readFailures(output).join('\n'));
      console.log('The end of its output:');
      console.log(output.split('\n').slice(-TAIL_LINES).join('\n'));
    }
  }
}

const runsAlone = path => FILES_RUN_ALONE.includes(getSource(path));
const parallelQueue = selectedFiles.filter(path => !runsAlone(path));
await Promise.all(Array.from({length: MAX_PARALLEL}, () => worker(parallelQueue)));
await worker(selectedFiles.filter(runsAlone));
for (const name of toleratedFailures) console.log(`KNOWN RED, passed over: ${name}`);
// A run without any passed test fails, for example if no file matches.
if (passed === 0) failed += 1;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
