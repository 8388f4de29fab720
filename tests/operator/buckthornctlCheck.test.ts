/** Tests of `buckthornctl config check` as a process: exit codes, both outputs, with and without a log. */
import t, {type Test} from 'tap';
import type {Configuration} from '../../src/configuration/index.js';
import {
  compareConfigurations,
  generateConfiguration,
  readAnswersFile,
} from '../../src/questionnaire/index.js';
import {ANSWERS, ClientHarness, testCase} from '../support/ClientHarness.js';

const {configuration: EXAMPLE} = generateConfiguration(
  await readAnswersFile('examples/barnehageplass.answers.yaml', 0),
  {inForce: undefined, createKey: () => 'key'},
);
const CHANGED: Configuration = {...EXAMPLE, staleConfigurationGraceMs: 5_000};
/** The last workspace has a key that has expired beside a valid one. */
const WITH_WARNING: Configuration = {
  ...EXAMPLE,
  workspaces: EXAMPLE.workspaces.map((workspace, index) => {
    if (index < EXAMPLE.workspaces.length - 1) return workspace;
    return {...workspace, keys: [...workspace.keys, {sha256: 'c'.repeat(64), notAfterMs: 1}]};
  }),
};
const WITH_ERROR: Configuration = {
  ...WITH_WARNING,
  services: EXAMPLE.services.map(service => ({...service, workspaces: ['oslo', 'bergen']})),
};

function writeFiles(t: Test): string {
  return t.testdir({
    'valid.json': JSON.stringify(EXAMPLE),
    'changed.json': JSON.stringify(CHANGED),
    'warning.json': JSON.stringify(WITH_WARNING),
    'error.json': JSON.stringify(WITH_ERROR),
    'schema.json': JSON.stringify({...EXAMPLE, services: []}),
    'other.json': JSON.stringify({...EXAMPLE, deployment: 'nsuo-pa'}),
    'text.json': 'deployment: x',
  });
}

t.test('buckthornctl config check, without a log', async t => {
  const folder = writeFiles(t);
  const harness = new ClientHarness();
  await harness.start(t);
  const check = (file: string, ...flags: readonly string[]) => ({
    args: ['config', 'check', `${folder}/${file}`, ...flags],
    hasPlatformUrls: false,
  });
  await testCase(t, harness, {
    name: 'accepts a valid file and says that it was not compared',
    run: check('valid.json'),
    exitCode: 0,
    expected:
      /valid\.json: 0 errors, 0 warnings\nnot compared with .*: --log-url \(BUCKTHORN_LOG_URL\) is not set\n$/,
  });
  await testCase(t, harness, {
    name: 'exits with 0 if there are only warnings',
    run: check('warning.json'),
    exitCode: 0,
    expected:
      /0 errors, 1 warning\nwarnings:\n {2}workspaces\.asker\.keys\.c{64}: notAfterMs 1 \(1970/,
  });
  await testCase(t, harness, {
    name: 'exits with 1 if there are errors, and lists them before the warnings',
    run: check('error.json'),
    exitCode: 1,
    expected:
      /errors:\n {2}services\.guidance\.workspaces: "bergen"[\s\S]*\nwarnings:\n[\s\S]*not compared[\s\S]*must not be published: 2 errors, 5 warnings/,
  });
  await testCase(t, harness, {
    name: 'exits with 1 if the file does not fit the schema',
    run: check('schema.json'),
    exitCode: 1,
    expected: /errors:\n {2}services: \[\]: .*\nnot compared .*: the file does not fit the schema/,
  });
  await testCase(t, harness, {
    name: 'exits with 2 if the file does not exist',
    run: check('missing.json'),
    exitCode: 2,
    expected: /missing\.json" can't be read/,
  });
  await testCase(t, harness, {
    name: 'exits with 2 if the file is not JSON',
    run: check('text.json', '--json'),
    exitCode: 2,
    expected: /text\.json" can't be read as JSON/,
  });
  await testCase(t, harness, {
    name: 'exits with 2 without a file',
    run: {args: ['config', 'check'], hasPlatformUrls: false},
    exitCode: 2,
    expected: /file/,
  });
  await t.test('prints only JSON on standard output, also with errors', async t => {
    const {output, exitCode} = await harness.run(check('error.json', '--json'));
    const report = JSON.parse(output);
    t.equal(exitCode, 1);
    t.same(Object.keys(report), ['file', 'errors', 'warnings', 'findings', 'comparison']);
    t.equal(report.errors, 2);
    t.same(Object.keys(report.findings[0]), ['severity', 'kind', 'path', 'message']);
    t.match(report.findings[0], {severity: 'error', kind: 'unknown-reference'});
    t.match(report.comparison, {isCompared: false, reason: /--log-url/});
  });
});

t.test('buckthornctl config check, with a log', async t => {
  const folder = writeFiles(t);
  const harness = new ClientHarness();
  await harness.start(t);
  const check = (file: string, ...flags: readonly string[]) => ({
    args: ['config', 'check', `${folder}/${file}`, ...flags],
  });
  await testCase(t, harness, {
    name: 'says that nothing has been published yet',
    run: check('valid.json'),
    exitCode: 0,
    expected: /not compared with .*: no configuration has been published yet/,
  });
  await testCase(t, harness, {
    name: 'is not an error if the log does not respond',
    run: check('valid.json', '--log-url', 'http://127.0.0.1:9', '--log-timeout-ms', '200'),
    exitCode: 0,
    expected: /not compared with .*: the log did not respond within 200 ms/,
  });
  await testCase(t, harness, {
    name: 'publishes the example',
    run: {args: ['questionnaire', ...ANSWERS, '--publish', '--yes']},
    exitCode: 0,
    expected: /as revision 1/,
  });
  await testCase(t, harness, {
    name: 'finds no difference from the same configuration',
    run: check('valid.json'),
    exitCode: 0,
    expected: /matches the configuration in force \(revision 1\)/,
  });
  await testCase(t, harness, {
    name: 'shows what differs from the configuration in force',
    run: check('changed.json'),
    exitCode: 0,
    expected: /\(revision 1\):\n {2}~ staleConfigurationGraceMs: 10000 -> 5000\n$/,
  });
  await testCase(t, harness, {
    name: 'rejects the configuration of another deployment',
    run: check('other.json'),
    exitCode: 1,
    expected: /errors:\n {2}deployment: "nsuo-pa" is not "barnehageplass", which is in force/,
  });
  await t.test('prints the differences as JSON', async t => {
    const {output, exitCode} = await harness.run(check('changed.json', '--json'));
    t.equal(exitCode, 0);
    t.same(JSON.parse(output).comparison, {
      isCompared: true,
      revision: 1,
      changes: compareConfigurations(EXAMPLE, CHANGED),
    });
  });
});
