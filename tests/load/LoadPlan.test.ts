/** Tests of the planned requests: rate, reproducibility and conversations. */
import t from 'tap';
import {planLoad, type LoadPlanOptions} from '../../src/load/index.js';

const OPTIONS: LoadPlanOptions = {
  seed: 7,
  durationMs: 20_000,
  startRatePerSecond: 20,
  endRatePerSecond: 60,
  conversations: 2,
  kinds: [
    {requestClass: 'chat', weight: 3, historyTokens: 100, turnTokens: 20, answerTokens: 10},
    {requestClass: 'review', weight: 1, historyTokens: 900, turnTokens: 50, answerTokens: 40},
  ],
  workspaces: [
    {name: 'large', key: 'a', weight: 4},
    {name: 'small', key: 'b', weight: 1},
  ],
};

t.test('planLoad', t => {
  const planned = planLoad(OPTIONS);
  t.test('gives the same requests for the same seed', t => {
    t.same(planLoad(OPTIONS), planned);
    t.notSame(planLoad({...OPTIONS, seed: 8}), planned);
    t.end();
  });
  t.test('follows the rate, which grows from start to end', t => {
    const firstHalf = planned.filter(({atMs}) => atMs < OPTIONS.durationMs / 2).length;
    t.ok(planned.length > 700 && planned.length < 900, `${planned.length} requests`);
    t.ok(firstHalf < planned.length * 0.45, `${firstHalf} in the first half`);
    t.end();
  });
  t.test('starts the prompt of each turn with the prompt of the previous turn', t => {
    const previousPrompts = new Map<string, string>();
    for (const {content, repeatedTokens, promptTokens, kind} of planned) {
      const conversation = content.split('.0 ')[0];
      const previous = previousPrompts.get(conversation);
      previousPrompts.set(conversation, content);
      if (previous === undefined) t.equal(repeatedTokens, 0);
      else t.ok(content.startsWith(previous) && repeatedTokens === promptTokens - kind.turnTokens);
    }
    t.end();
  });
  t.test('replaces a conversation by a new one after its last turn', t => {
    const short = planLoad({...OPTIONS, maxTurns: 3});
    const prompts = new Set(short.map(({promptTokens}) => promptTokens));
    t.same(new Set([...prompts].sort((a, b) => a - b)), new Set([100, 120, 140, 900, 950, 1_000]));
    const first = short.filter(({repeatedTokens}) => repeatedTokens === 0);
    t.equal(
      new Set(first.map(({content}) => content)).size,
      first.length,
      'all conversations are different',
    );
    t.end();
  });
  t.end();
});
