/** Tests of the configuration that is generated from answers, and of its workspace keys. */
import t from 'tap';
import {configurationSchema} from '../../src/configuration/index.js';
import {
  generateConfiguration,
  hashKey,
  readAnswersFile,
  type Answers,
} from '../../src/questionnaire/index.js';

const EXAMPLE = await readAnswersFile('examples/barnehageplass.answers.yaml', 0);
const CREATE_KEY = () => 'new-key';

function withoutKeys(answers: Answers): Answers {
  return {...answers, workspaces: answers.workspaces.map(({name, size}) => ({name, size}))};
}

t.test('generateConfiguration', t => {
  const options = {inForce: undefined, createKey: CREATE_KEY};

  t.test('returns a configuration that fits the schema', t => {
    const {configuration, generatedKeys} = generateConfiguration(EXAMPLE, options);
    t.ok(configurationSchema.safeParse(configuration).success);
    t.equal(generatedKeys.length, 0);
    t.equal(configuration.workspaces[0]?.keys[0]?.sha256, hashKey('demo-oslo'));
    const routes = configuration.services.flatMap(service => service.routes);
    t.same(
      routes.map(({isIdempotent}) => isIdempotent),
      [false, true],
    );
    t.end();
  });

  t.test('gives a large workspace a greater share than a small one', t => {
    const {workspaces} = generateConfiguration(EXAMPLE, options).configuration;
    const weights = workspaces.map(({shareWeight}) => shareWeight);
    t.ok((weights[0] ?? 0) > (weights[4] ?? 0));
    t.end();
  });

  t.test('generates a key for a new workspace and stores only its hash', t => {
    const {configuration, generatedKeys} = generateConfiguration(withoutKeys(EXAMPLE), options);
    t.same(generatedKeys[0], {workspace: 'oslo', key: 'new-key'});
    t.equal(configuration.workspaces[0]?.keys[0]?.sha256, hashKey('new-key'));
    t.notMatch(JSON.stringify(configuration), 'new-key');
    t.end();
  });

  t.test('keeps the keys in force if the answers contain none', t => {
    const inForce = generateConfiguration(EXAMPLE, options).configuration;
    const again = generateConfiguration(withoutKeys(EXAMPLE), {inForce, createKey: CREATE_KEY});
    t.equal(again.generatedKeys.length, 0);
    t.same(again.configuration.workspaces, inForce.workspaces);
    t.end();
  });
  t.end();
});
