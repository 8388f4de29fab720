/** Tests of the sums over a load. */
import t from 'tap';
import {
  countRecomputedTokens,
  createHtml,
  createMarkdown,
  summarize,
  type CallResult,
} from '../../src/load/index.js';

function createResult(startedAtMs: number, cachedTokens: number, prefixNumber = 0): CallResult {
  const requestClass = {
    name: 'chat',
    weight: 1,
    promptTokens: 100,
    sharedPrefixTokens: 80,
    prefixesPerWorkspace: 2,
    answerTokens: 3,
  };
  const workspace = {name: 'a', key: 'k', weight: 1};
  return {
    arrival: {number: startedAtMs, atMs: startedAtMs, workspace, requestClass, prefixNumber},
    startedAtMs,
    isAnswered: true,
    status: 200,
    firstTokenMs: 100,
    longestGapMs: 10,
    totalMs: 200,
    promptTokens: 100,
    cachedTokens,
    generatedTokens: 3,
  };
}

t.test('countRecomputedTokens', t => {
  function doTest(name: string, results: readonly CallResult[], expected: number) {
    t.test(name, t => {
      const counts = [...countRecomputedTokens(results).values()];
      t.equal(
        counts.reduce((total, count) => total + count, 0),
        expected,
      );
      t.end();
    });
  }

  doTest('the first of a beginning', [createResult(0, 0)], 0);
  doTest('found in the cache', [createResult(0, 0), createResult(1, 80)], 0);
  doTest('found in part', [createResult(0, 0), createResult(1, 48)], 32);
  doTest('not found', [createResult(0, 0), createResult(1, 0)], 80);
  doTest('another beginning', [createResult(0, 0), createResult(1, 0, 1)], 0);
  t.end();
});

t.test('summarize', t => {
  const cost = {priceUsdPerHour: 3.6, durationMs: 10_000, firstTokenTargetMs: 1_000};
  const results = [createResult(0, 0), {...createResult(1, 0), isAnswered: false}];
  const [all, first] = summarize(results, cost);
  t.match(all, {group: 'all', requests: 2, answered: 1, costUsdPerThousand: 10});
  t.match(first, {group: 'a', firstToken: {p50Ms: 100}});
  const reports = [{policy: 'random', results, summaries: [all, first]}];
  t.match(createMarkdown(reports), /\| random \| all \| 2 \| 1 \| 100\/100\/100 \|/);
  t.match(createHtml('<title>', reports), /&lt;title>.*<polyline/s);
  t.end();
});
