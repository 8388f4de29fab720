/** Tests that the short scenarios pass, with real processes; one at a time, since each starts a whole deployment. */
import {join} from 'node:path';
import t from 'tap';
import {readScenario} from '../../scenarios/language/index.js';
import {runScenario} from '../../scenarios/runner/index.js';

const TIMEOUT_MS = 120_000;

t.setTimeout(TIMEOUT_MS);
t.test('runScenario', {timeout: TIMEOUT_MS}, t => {
  function doTest(name: string) {
    t.test(name, async t => {
      const scenario = await readScenario(join('scenarios', `${name}.yaml`));
      const {results} = await runScenario(scenario, line => t.comment(line));
      for (const {name: expectation, violations} of results) t.same(violations, [], expectation);
    });
  }

  t.jobs = 1;
  doTest('01-announced-reclaim');
  doTest('07-at-most-once');
  doTest('08-leaving-server');
  doTest('09-planned-stop');
  doTest('10-configuration');
  t.end();
});
