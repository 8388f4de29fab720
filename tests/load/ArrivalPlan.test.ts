/** Tests of the drawn arrivals. */
import t from 'tap';
import {createRandom, parseMix, planArrivals} from '../../src/load/index.js';

const MIX = parseMix(
  `model: m
workspaces: [{name: a, key: k, weight: 3}, {name: b, key: l, weight: 1}]
classes:
  - {name: chat, weight: 1, promptTokens: 10, sharedPrefixTokens: 5, prefixesPerWorkspace: 2, answerTokens: 3}
ramp:
  - {durationMs: 20000, fromRatePerSecond: 0, toRatePerSecond: 100}
  - {durationMs: 10000, fromRatePerSecond: 100, toRatePerSecond: 100}
`,
  'mix.yaml',
);

t.test('planArrivals', t => {
  const arrivals = planArrivals(MIX, createRandom(7));
  const count = (fromMs: number, toMs: number) =>
    arrivals.filter(({atMs}) => atMs >= fromMs && atMs < toMs).length;
  t.same(planArrivals(MIX, createRandom(7)), arrivals, 'alike for the same seed');
  t.ok(Math.abs(count(20_000, 30_000) - 1_000) < 150, 'the rate of a level phase');
  t.ok(count(0, 10_000) < count(10_000, 20_000), 'the rate grows on a ramp');
  const large = arrivals.filter(({workspace}) => workspace.name === 'a').length;
  t.ok(Math.abs(large / arrivals.length - 0.75) < 0.06, 'the weights of workspaces');
  t.end();
});

t.test('parseMix', t => {
  t.throws(() => parseMix('model: m', 'mix.yaml'), {
    message: /^mix file mix.yaml: workspaces: /,
  });
  t.end();
});
