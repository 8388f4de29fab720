/** Tests of the share of requests for failure domains that are out or returning. */
import t from 'tap';
import type {FailureDomainStatus} from '../../../src/blackboard/index.js';
import {
  decideFailureDomains,
  getDomainPercent,
  RETURN_RAMP_MS,
} from '../../../src/controllers/failureDomains/index.js';

function createStatus(name: string, state: FailureDomainStatus['state']): FailureDomainStatus {
  return {name, state, revision: 3, changedAtMs: 1_000};
}

t.test('getDomainPercent', t => {
  function doTest(
    name: string,
    state: FailureDomainStatus['state'],
    nowMs: number,
    expected: number,
  ) {
    t.test(name, t => {
      t.equal(getDomainPercent([createStatus('accra', state)], 'accra', nowMs), expected);
      t.end();
    });
  }

  doTest('0 percent while out', 'out', 1_000, 0);
  doTest('100 percent while in', 'in', 1_000, 100);
  doTest('10 percent at the start of the ramp', 'returning', 1_000, 10);
  doTest('55 percent in the middle of the ramp', 'returning', 1_000 + RETURN_RAMP_MS / 2, 55);
  doTest('100 percent after the ramp', 'returning', 1_000 + 2 * RETURN_RAMP_MS, 100);
  doTest('10 percent if the local clock is behind', 'returning', 0, 10);
  t.equal(
    getDomainPercent([createStatus('accra', 'out')], 'tema', 0),
    100,
    'other domains stay in',
  );
  t.end();
});

t.test('decideFailureDomains', t => {
  const statuses = [
    createStatus('accra', 'out'),
    createStatus('kasoa', 'out'),
    createStatus('tema', 'returning'),
  ];
  const early = decideFailureDomains({statuses}, 1_000 + RETURN_RAMP_MS - 1);
  t.same(early, {changes: {closedDomains: ['accra', 'kasoa']}, effects: []});
  const late = decideFailureDomains({statuses}, 1_000 + RETURN_RAMP_MS);
  t.same(late.effects, [
    {kind: 'propose-domain-order', failureDomain: 'tema', state: 'in', replacesRevision: 3},
  ]);
  t.end();
});
