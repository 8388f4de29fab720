/** Tests of `buckthornctl` as a process: publishing, with the output and the exit code of each run. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {ANSWERS, ClientHarness, testCase, testClient} from '../support/ClientHarness.js';

const PUBLISH = {
  name: 'publishes and waits until the configuration is in force',
  run: {args: ['questionnaire', ...ANSWERS, '--publish'], input: 'yes\n'},
  exitCode: 0,
  expected: /accepted at offset 0 as revision 1\nin force on 1 of 1 entries/,
};

testClient('buckthornctl, before anything is published', [
  {
    name: 'prints its commands with --help',
    run: {args: ['--help']},
    exitCode: 0,
    expected: /questionnaire[\s\S]*move[\s\S]*domain/,
  },
  {
    name: 'rejects a URL setting that is not a URL',
    run: {args: ['config', 'show', '--log-url', 'log:7000']},
    exitCode: 2,
    expected: /--log-url \(BUCKTHORN_LOG_URL\): "log:7000" is not/,
  },
  {
    name: 'rejects an unknown flag',
    run: {args: ['config', 'show', '--foo']},
    exitCode: 2,
    expected: /--foo/,
  },
  {
    name: 'reports that no configuration is in force',
    run: {args: ['config', 'show']},
    exitCode: 1,
    expected: /no configuration/,
  },
  {
    name: 'names a missing setting that publishing needs',
    run: {args: ['questionnaire', ...ANSWERS, '--publish'], hasPlatformUrls: false},
    exitCode: 2,
    expected: /--log-url \(BUCKTHORN_LOG_URL\) is missing/,
  },
  {
    name: 'publishes nothing unless confirmed with yes',
    run: {args: ['questionnaire', ...ANSWERS, '--publish'], input: 'no\n'},
    exitCode: 1,
    expected: /not published/,
  },
]);

t.test('buckthornctl publishes', async t => {
  const harness = new ClientHarness();
  await harness.start(t);
  await testCase(t, harness, PUBLISH);
  await testCase(t, harness, {
    name: 'reports that the answers change nothing',
    run: {args: ['questionnaire', ...ANSWERS, '--publish']},
    exitCode: 0,
    expected: /nothing to publish/,
  });
  await testCase(t, harness, {
    name: 'shows the revision in force on each entry',
    run: {args: ['config', 'status']},
    exitCode: 0,
    expected: /entry-1 .* 1$/m,
  });
  await testCase(t, harness, {
    name: 'rejects the answers of another deployment',
    run: {
      args: ['questionnaire', '--answers', 'examples/nsuo-pa.answers.yaml', '--publish', '--yes'],
    },
    exitCode: 2,
    expected: /"nsuo-pa" is not "barnehageplass", which is in force/,
  });

  harness.entryRevision = 0;
  const changedAnswers = readFileSync(ANSWERS[1] ?? '', 'utf8').replace(
    'replicas: 8',
    'replicas: 10',
  );
  const folder = t.testdir({'answers.yaml': changedAnswers});
  const answers = ['--answers', `${folder}/answers.yaml`];
  await testCase(t, harness, {
    name: 'names the entries that have an older revision when the wait ends',
    run: {args: ['questionnaire', ...answers, '--publish', '--yes', '--wait-ms', '300']},
    exitCode: 1,
    expected:
      /targetReplicas: 8 -> 10[\s\S]*revision 2 is accepted and remains so.*in force on 0 of 1 entries; missing: entry-1 \(at revision 0\)/,
  });
});
