/** Tests that the scenario parser accepts valid steps and reports errors with file and line. */
import t from 'tap';
import {parseScenario} from '../../../scenarios/language/index.js';

const HEAD = `property: p
seed: 1
topology:
  entries: 1
  services:
    - {name: booking, kind: plain, replicas: 1}
`;

t.test('parseScenario', t => {
  function doTest(name: string, text: string, expectedMessage: string | undefined) {
    t.test(name, t => {
      if (expectedMessage === undefined) t.equal(parseScenario(text, 'x.yaml').property, 'p');
      else t.throws(() => parseScenario(text, 'x.yaml'), {message: expectedMessage});
      t.end();
    });
  }

  const steps = (lines: string) => `${HEAD}steps:\n${lines}expect:\n  - crashes: {max: 0}\n`;
  doTest('accepts a step', steps('  - waitMs: 1\n'), undefined);
  doTest(
    'rejects an unknown step with its line',
    steps('  - waitMs: 1\n  - dance: {}\n'),
    'x.yaml:9: steps.1.dance: unknown "dance"',
  );
  doTest(
    'rejects an unknown field with its line',
    steps('  - kill:\n      instance: a\n      hard: true\n'),
    'x.yaml:10: steps.0.kill.hard: unknown "hard"',
  );
  doTest(
    'rejects a step with two keys',
    steps('  - waitMs: 1\n    kill: {instance: a}\n'),
    'x.yaml:8: has 2 keys (waitMs, kill) instead of one',
  );
  doTest('rejects invalid YAML', 'property: [', 'x.yaml:1: BAD_INDENT');
  t.end();
});
