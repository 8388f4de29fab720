/**
 * Runs the compiled tests with tap and prints `N passed, N failed` as its last line.
 * Tests named in KNOWN-RED.txt are printed and passed over; every other failure fails the run.
 * Usage: node scripts/run-tests.mjs [FILE ...]
 */
import {spawn} from 'node:child_process';
import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {cpus} from 'node:os';
import {join, dirname, relative} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const FILE_TIMEOUT_MS = 240_000;
const MS_PER_SECOND = 1_000;
const TAIL_LINES = 40;
const FAILURE_LINES = 30;
const MAX_FAILURES = 10;
/** Tests of whole processes share the machine, so few files run at once. */
const MAX_PARALLEL = Math.max(2, Math.floor(cpus().length / 3));

function listTests(folder) {
  return readdirSync(folder).flatMap(name => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return listTests(path);
    return path.endsWith('.test.js') ? [path] : [];
  });
}

/** An entry is `test: tests/x/Y.test.ts | outer name > inner name` on a line of its own; the lines after it explain. */
function readKnownRed() {
  const path = join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(path)) return [];
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

function runFile(path) {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [path], {
      cwd: ROOT,
      // The library's own limit is the runner's, so that a slow machine changes no verdict.
      env: {...process.env, TAP: '1', TAP_TIMEOUT: String(FILE_TIMEOUT_MS / MS_PER_SECOND)},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', data => (output += data));
    child.stderr.on('data', data => (output += data));
    const timer = setTimeout(() => {
      output += `\nnot ok - no end within ${FILE_TIMEOUT_MS} ms\n`;
      child.kill('SIGKILL');
    }, FILE_TIMEOUT_MS);
    child.on('close', code => {
      clearTimeout(timer);
      resolve({path, output, code});
    });
  });
}

/**
 * Returns the results of the innermost subtests, each with its path of names.
 * A subtest that fails without a failed one inside counts too.
 */
function readResults(output) {
  const open = [];
  const results = [];
  for (const line of output.split('\n')) {
    const depth = line.match(/^\s*/)[0].length;
    const start = line.match(/^\s*# Subtest: (.*)$/);
    if (start) {
      if (open.length > 0) open[open.length - 1].hasInner = true;
      open.push({name: start[1], depth, hasInner: false, hasFailedInner: false});
      continue;
    }
    const top = open[open.length - 1];
    const end = line.match(/^\s*(not )?ok\b/);
    if (!end || !top || top.depth !== depth) continue;
    open.pop();
    const isOk = end[1] === undefined;
    if (!top.hasInner || (!isOk && !top.hasFailedInner)) {
      const name = [...open.map(subtest => subtest.name), top.name].join(' > ');
      results.push({name, isOk, isSkipped: /# (todo|skip)/i.test(line)});
    }
    if (!isOk && open.length > 0) open[open.length - 1].hasFailedInner = true;
  }
  return results;
}

/** Returns the first failed assertions of a file with what tap says of each. */
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

const asked = process.argv.slice(2);
const all = listTests(join(ROOT, 'dist', 'tests'));
const chosen = all.filter(
  path => asked.length === 0 || asked.some(word => path.includes(word.replace(/\.ts$/, ''))),
);
const knownRed = readKnownRed();
const queue = [...chosen];
let passed = 0;
let failed = 0;
const passedOver = [];

async function worker() {
  for (let path = queue.shift(); path !== undefined; path = queue.shift()) {
    const {output, code} = await runFile(path);
    const source = relative(join(ROOT, 'dist'), path).replace(/\.js$/, '.ts');
    const results = readResults(output);
    const bad = results.filter(result => !result.isOk);
    const known = bad.filter(result => knownRed.includes(`${source} | ${result.name}`));
    const unexplained = code !== 0 && bad.length === 0 ? 1 : 0;
    const skipped = results.filter(result => result.isSkipped).length;
    passed += results.length - bad.length;
    failed += bad.length - known.length + unexplained + skipped;
    passedOver.push(...known.map(result => `${source} | ${result.name}`));
    if (bad.length - known.length + unexplained + skipped > 0) {
      console.log(`FAILED ${source} (exit ${code})`);
      console.log(readFailures(output).join('\n'));
      console.log('The end of its output:');
      console.log(output.split('\n').slice(-TAIL_LINES).join('\n'));
    }
  }
}

await Promise.all(Array.from({length: MAX_PARALLEL}, worker));
for (const name of passedOver) console.log(`KNOWN RED, passed over: ${name}`);
if (passed === 0) failed += 1;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);
