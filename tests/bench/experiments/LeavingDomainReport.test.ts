/** Tests that the report of a leaving failure domain sums requests by phase and marks notice and return. */
import t from 'tap';
import {createLeavingDomainReport} from '../../../bench/experiments/LeavingDomainReport.js';

t.test('createLeavingDomainReport', t => {
  const seconds = Array.from({length: 8}, (unused, second) => ({
    second,
    answered: 10 - second,
    late: second === 3 ? 4 : 0,
    refused: second === 4 ? 2 : 0,
    failed: second >= 6 ? 1 : 0,
  }));
  const times = {leavesAtMs: 2_000, noticeMs: 1_000, returnsAtMs: 6_000};
  const loads = [{name: 'spare', summaries: [], seconds}];
  const {tables, marks} = createLeavingDomainReport(loads, times, 'c');
  t.same(tables?.[0]?.rows, [
    ['spare', 'before, from 0', '19', '0', '0', '0', '0 / 0 / 0'],
    ['spare', 'notice, from 2', '8', '0', '0', '0', '0 / 0 / 0'],
    ['spare', 'away, from 3', '20', '4', '2', '0', '4 / 2 / 0'],
    ['spare', 'cold servers, from 6', '9', '0', '0', '2', '0 / 0 / 1'],
  ]);
  t.same(
    marks?.map(({x}) => x),
    [2, 6],
  );
  t.end();
});
