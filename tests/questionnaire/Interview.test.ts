/** Tests of the interactive questionnaire with typed lines of input. */
import t from 'tap';
import {
  generateConfiguration,
  Interview,
  readAnswersFile,
  type Answers,
} from '../../src/questionnaire/index.js';
import type {Configuration} from '../../src/configuration/index.js';
import {assertRejectsKind} from '../support/assertions.js';

const TYPED_LINES = [
  'fjord',
  'oslo-a ostlandet, oslo-b ostlandet',
  'families',
  'large',
  'chat',
  '',
  'guidance, booking',
  'model',
  ...['v1 100', '4', '8', '1', '120', 'yes', 'all'],
  'plain',
  ...['POST /places', 'GET /', '', '2', '32', '4', '', '', 'families'],
  'gpu-small 1.2',
  '',
];

async function runInterview(
  lines: readonly string[],
  inForce?: Configuration,
): Promise<{readonly answers: Answers; readonly output: readonly string[]}> {
  const output: string[] = [];
  const remainingLines = [...lines];
  const interview = new Interview({
    ask: async () => remainingLines.shift(),
    writeLine: line => output.push(line),
    inForce,
    nowMs: 0,
  });
  return {answers: await interview.run(), output};
}

t.test('Interview.run', async t => {
  await t.test('asks the questions that earlier answers add', async t => {
    const {answers} = await runInterview(TYPED_LINES);
    t.same(answers.workspaces, [{name: 'families', size: 'large'}]);
    t.same(
      answers.services.map(({name, kind}) => [name, kind]),
      [
        ['guidance', 'model'],
        ['booking', 'plain'],
      ],
    );
    const booking = answers.services[1];
    t.same(booking?.kind === 'plain' && booking.routes, [
      {methods: ['POST'], pathPrefix: '/places', isIdempotent: false},
      {methods: ['GET'], pathPrefix: '/', isIdempotent: true},
    ]);
    t.equal(answers.staleConfigurationGraceSeconds, 10);
  });

  await t.test('returns to the previous question and uses the second answer', async t => {
    const lines = ['fjrod', '<', ...TYPED_LINES];
    t.equal((await runInterview(lines)).answers.deployment, 'fjord');
  });

  await t.test('repeats a question whose answer is invalid', async t => {
    const coldIndex = 10;
    const lines = TYPED_LINES.map((line, index) => (index === coldIndex + 1 ? '9' : line));
    const {answers, output} = await runInterview([...lines, '3']);
    t.equal(answers.services[0]?.requestsPerColdReplica, 3);
    t.ok(
      output.includes(
        'services.guidance.requestsPerColdReplica: "9" exceeds requestsPerReplica (8); a cold replica has less capacity',
      ),
    );
  });

  await t.test('offers the configuration in force as defaults', async t => {
    const example = await readAnswersFile('examples/barnehageplass.answers.yaml', 0);
    const options = {inForce: undefined, createKey: () => 'key'};
    const [first, ...others] = example.workspaces;
    const workspaces = first ? [{...first, shareWeight: 2}, ...others] : others;
    const {configuration} = generateConfiguration({...example, workspaces}, options);
    const {answers} = await runInterview(new Array<string>(200).fill(''), configuration);
    const again = generateConfiguration(answers, {...options, inForce: configuration});
    t.same(again.configuration, configuration);
  });

  await t.test('rejects if the input ends before the last question', async t => {
    await assertRejectsKind(t, runInterview(TYPED_LINES.slice(0, 5)), 'invalid-settings');
  });
});
