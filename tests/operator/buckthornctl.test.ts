/** Tests of the operators' client as a process: what it says and how it exits. */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import t from 'tap';
import {FakePlatformServer} from '../support/FakePlatformServer.js';

const BINARY = 'dist/src/bin/buckthornctl.js';
const ANSWERS = ['--answers', 'examples/barnehageplass.answers.yaml'];
const KEY = 'deployment-key';

interface RunResult {
  readonly exitCode: number | null;
  readonly output: string;
  readonly problems: string;
}

interface Run {
  readonly args: readonly string[];
  readonly input?: string;
  readonly url?: string;
}

function runClient({args, input = '', url}: Run): Promise<RunResult> {
  const settings = url === undefined ? {} : {BUCKTHORN_LOG_URL: url, BUCKTHORN_LIST_URL: url};
  const child = spawn(process.execPath, [BINARY, ...args], {
    env: {...process.env, ...settings, BUCKTHORN_DEPLOYMENT_KEY: KEY, BUCKTHORN_OPERATOR: 'kari'},
  });
  let output = '';
  let problems = '';
  child.stdout.on('data', data => (output += String(data)));
  child.stderr.on('data', data => (problems += String(data)));
  child.stdin.on('error', () => undefined);
  child.stdin.end(input);
  return new Promise(resolve =>
    child.on('close', exitCode => resolve({exitCode, output, problems})),
  );
}

t.test('buckthornctl', async t => {
  let entryRevision = 1;
  const platform = new FakePlatformServer({
    deploymentKey: KEY,
    getEntryRevision: () => entryRevision,
  });
  const url = await platform.start();
  t.teardown(() => platform.stop());

  async function doTest(name: string, run: Run, exitCode: number, expected: RegExp) {
    await t.test(name, async t => {
      const result = await runClient({url, ...run});
      t.match(result.output + result.problems, expected);
      t.equal(result.exitCode, exitCode, result.problems);
    });
  }

  await doTest('explains itself', {args: ['--help']}, 0, /questionnaire[\s\S]*move[\s\S]*domain/);
  await doTest(
    'refuses a setting that is not a URL',
    {args: ['config', 'show', '--log-url', 'log:7000']},
    2,
    /--log-url \(BUCKTHORN_LOG_URL\): "log:7000" is not/,
  );
  await doTest('refuses an unknown flag', {args: ['config', 'show', '--foo']}, 2, /--foo/);
  await doTest('tells that nothing is in force', {args: ['config', 'show']}, 1, /no configuration/);
  await doTest(
    'names the setting that publishing needs',
    {args: ['questionnaire', ...ANSWERS, '--publish'], url: undefined},
    2,
    /--log-url \(BUCKTHORN_LOG_URL\) is missing/,
  );
  await doTest(
    'publishes nothing without a yes',
    {args: ['questionnaire', ...ANSWERS, '--publish'], input: 'no\n'},
    1,
    /not published/,
  );
  await doTest(
    'publishes and waits until it is in force',
    {args: ['questionnaire', ...ANSWERS, '--publish'], input: 'yes\n'},
    0,
    /accepted at offset 0 as revision 1\nin force on 1 of 1 entries/,
  );
  await doTest(
    'tells that answers change nothing',
    {args: ['questionnaire', ...ANSWERS, '--publish']},
    0,
    /nothing to publish/,
  );
  await doTest('shows where it is in force', {args: ['config', 'status']}, 0, /entry-1 .* 1$/m);
  await doTest(
    'starts a move from the version in force',
    {args: ['move', 'start', 'guidance', '--to', 'v2', '--deadline', '45m']},
    0,
    /moves guidance from v1 to v2 within 45 min/,
  );
  await doTest(
    'refuses a second move of a service',
    {args: ['move', 'start', 'guidance', '--to', 'v3', '--deadline', '45m']},
    1,
    /another move of the service is under way/,
  );
  await doTest('aborts a move', {args: ['move', 'abort', 'guidance']}, 0, /aborted at offset/);
  await doTest('tells of an abort', {args: ['move', 'wait', 'guidance']}, 1, /aborted by kari/);
  await doTest(
    'takes a failure domain out',
    {args: ['domain', 'out', 'ostlandet-b']},
    0,
    /ostlandet-b gets no new work/,
  );
  await doTest('shows failure domains', {args: ['domain', 'status']}, 0, /ostlandet-b .* out /);
  await doTest(
    'names the failure domains there are',
    {args: ['domain', 'out', 'bergen']},
    2,
    /"bergen" is not among .*ostlandet-a, ostlandet-b/,
  );
  await doTest('lists instances', {args: ['instances']}, 0, /entry-1 +entry +127/);
  await doTest(
    'lists events',
    {args: ['events']},
    0,
    /configuration over revision 0 by kari[\s\S]*ostlandet-b out by kari/,
  );

  await doTest(
    'refuses the answers of another deployment',
    {args: ['questionnaire', '--answers', 'examples/nsuo-pa.answers.yaml', '--publish', '--yes']},
    2,
    /"nsuo-pa" is not "barnehageplass", which is in force/,
  );

  entryRevision = 0;
  const changed = readFileSync(ANSWERS[1] ?? '', 'utf8').replace('replicas: 8', 'replicas: 10');
  const folder = t.testdir({'answers.yaml': changed});
  await doTest(
    'names the entries that lag',
    {
      args: [
        'questionnaire',
        '--answers',
        `${folder}/answers.yaml`,
        '--publish',
        '--yes',
        '--wait-ms',
        '300',
      ],
    },
    1,
    /targetReplicas: 8 -> 10[\s\S]*revision 2 is accepted and stays so.*in force on 0 of 1 entries; missing: entry-1 \(at revision 0\)/,
  );
});
