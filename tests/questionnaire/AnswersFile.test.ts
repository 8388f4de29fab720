/** Tests of reading answers files, and of the issue that each invalid answer gives. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {parse} from 'yaml';
import {ServingError} from '../../src/errors/index.js';
import {parseAnswers, readAnswersFile, type AnswersInput} from '../../src/questionnaire/index.js';

const NOW_MS = Date.parse('2026-12-04T06:00:00Z');
const EXAMPLE = readFileSync('examples/barnehageplass.answers.yaml', 'utf8');

type Answers = {-readonly [Name in keyof AnswersInput]: AnswersInput[Name]};

t.test('readAnswersFile', async t => {
  for (const name of ['barnehageplass', 'nsuo-pa']) {
    await t.test(`accepts the example ${name}`, async t => {
      const answers = await readAnswersFile(`examples/${name}.answers.yaml`, NOW_MS);
      t.equal(answers.deployment, name);
      t.equal(answers.failureDomains.length, 4);
      t.equal(answers.workspaces.length, 5);
    });
  }
  await t.test('names a file that does not exist', async t => {
    await t.rejects(readAnswersFile('examples/none.yaml', NOW_MS), {
      message: '--answers: "examples/none.yaml" can\'t be read',
    });
  });
});

t.test('parseAnswers', t => {
  function doTest(name: string, change: (answers: Answers) => void, expectedLine: string) {
    t.test(name, t => {
      const answers = parse(EXAMPLE) as Answers;
      change(answers);
      let message = 'accepted';
      try {
        parseAnswers(JSON.stringify(answers), NOW_MS);
      } catch (error) {
        if (!(error instanceof ServingError)) throw error;
        message = error.message;
        t.equal(error.kind, 'invalid-settings');
      }
      t.match(message.split('\n  '), [
        expectedLine === 'accepted' ? 'accepted' : /invalid answers/,
      ]);
      if (expectedLine !== 'accepted') t.ok(message.split('\n  ').includes(expectedLine), message);
      t.end();
    });
  }

  doTest('accepts the example as JSON', () => undefined, 'accepted');
  doTest(
    'names a missing question',
    answers => Reflect.deleteProperty(answers, 'priceLimits'),
    'priceLimits: "nothing" - Invalid input: expected array, received undefined',
  );
  doTest(
    'names a workspace whose size is wrong',
    answers => Object.assign(answers.workspaces[1] ?? {}, {size: 'huge'}),
    'workspaces.baerum.size: "huge" - Invalid option: expected one of "small"|"large"',
  );
  doTest(
    'rejects two workspaces with the same name',
    answers => Object.assign(answers.workspaces[1] ?? {}, {name: 'oslo'}),
    'workspaces: "oslo" is named twice',
  );
  doTest(
    'rejects one key for several workspaces',
    answers => {
      const keys = ['a'.repeat(64)];
      answers.workspaces = answers.workspaces.map(workspace => ({...workspace, keys}));
    },
    `workspaces.keys: "${'a'.repeat(64)}" is given twice; a key must identify a single workspace`,
  );
  doTest(
    'rejects a workspace whose keys have all expired',
    answers => {
      const expiredKey = {sha256: 'b'.repeat(64), notAfter: '2026-12-04T05:00:00Z'};
      Object.assign(answers.workspaces[0] ?? {}, {keys: [expiredKey]});
    },
    'workspaces.oslo.keys: "oslo" has only keys whose notAfter has passed, so all of its requests would be rejected',
  );
  doTest(
    'rejects version shares that do not add up to 100',
    answers => {
      const versions = [
        {name: 'v1', sharePercent: 60},
        {name: 'v2', sharePercent: 30},
      ];
      Object.assign(answers.services[0] ?? {}, {versions});
    },
    'services.guidance.versions: "90" percent in total; the shares must add up to 100',
  );
  doTest(
    'rejects a cold replica with more capacity than a warm one',
    answers => Object.assign(answers.services[0] ?? {}, {requestsPerColdReplica: 17}),
    'services.guidance.requestsPerColdReplica: "17" exceeds requestsPerReplica (16); a cold replica has less capacity',
  );
  doTest(
    'rejects a single replica if there are several failure domains',
    answers => Object.assign(answers.services[1] ?? {}, {replicas: 1}),
    'services.booking.replicas: "1" is too few; with its failure domain, the only replica would be lost',
  );
  doTest(
    'rejects a service for an unknown workspace',
    answers => Object.assign(answers.services[1] ?? {}, {workspaces: ['bergen']}),
    'services.booking.workspaces: "bergen" is not among the workspaces',
  );
  doTest(
    'rejects a request timeout below the first-token target',
    answers => Object.assign(answers.services[0] ?? {}, {requestTimeoutSeconds: 10}),
    'services.guidance.requestTimeoutSeconds: "10" does not exceed the first-token target of class review (15000 ms)',
  );
  doTest(
    'rejects a non-idempotent route that contains GET',
    answers => {
      const routes = [{methods: ['GET', 'POST'], pathPrefix: '/places', isIdempotent: false}];
      Object.assign(answers.services[1] ?? {}, {routes});
    },
    'services.booking.routes: "GET,POST /places" is non-idempotent but contains GET, HEAD or OPTIONS; give those a separate route',
  );
  t.end();
});
