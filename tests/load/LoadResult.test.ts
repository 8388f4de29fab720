/** Tests which outcomes count as answered, refused or failed, and which tokens count as recomputed. */
import t from 'tap';
import {LoadResult, createHtmlReport, type RequestOutcome} from '../../src/load/index.js';

const KIND = {requestClass: 'chat', weight: 1, historyTokens: 100, turnTokens: 20, answerTokens: 3};
const BASE: RequestOutcome = {
  planned: {
    atMs: 0,
    workspace: {name: 'small', key: 'k', weight: 1},
    kind: KIND,
    content: '',
    promptTokens: 120,
    repeatedTokens: 100,
  },
  startedAtMs: 1_000,
  endedAtMs: 1_200,
  status: 200,
  firstTokenMs: 100,
  interTokenMs: [10, 10],
  answerTokens: 3,
  promptTokens: 120,
  cachedTokens: 96,
};

t.test('getSummaries', t => {
  function doTest(name: string, changes: Partial<RequestOutcome>, expected: object) {
    t.test(name, t => {
      const result = new LoadResult();
      result.addOutcome({...BASE, ...changes});
      t.match(result.getSummaries().at(-1), expected);
      t.end();
    });
  }

  doTest(
    'counts a complete response as answered',
    {},
    {answered: 1, refused: 0, failed: 0, recomputedTokens: 4},
  );
  doTest(
    'counts uncached tokens of the previous prompt as recomputed',
    {cachedTokens: 0},
    {recomputedTokens: 100},
  );
  doTest(
    'counts an error status for overload as refused',
    {status: 503, errorKind: 'overloaded'},
    {answered: 0, refused: 1, failed: 0},
  );
  doTest(
    'counts a truncated stream as failed',
    {errorKind: 'cut-off'},
    {answered: 0, refused: 0, failed: 1, errorKinds: [{kind: 'cut-off', count: 1}]},
  );
  doTest(
    'counts a lost connection as failed',
    {status: 0, errorKind: 'connection'},
    {refused: 0, failed: 1},
  );
  doTest(
    'counts a backend failure as failed',
    {status: 502, errorKind: 'backend-failed'},
    {refused: 0, failed: 1},
  );
  t.end();
});

t.test('createHtmlReport', t => {
  const result = new LoadResult();
  result.addOutcome(BASE);
  const seconds = result.getSeconds(0, 50);
  t.same(seconds[1], {second: 1, answered: 1, refused: 0, failed: 0, late: 1});
  const loads = [{name: '<b>', summaries: result.getSummaries(), seconds}];
  const html = createHtmlReport({title: 'T', command: 'c', loads});
  t.ok(html.includes('&lt;b&gt;') && html.includes('<polyline'));
  t.end();
});
