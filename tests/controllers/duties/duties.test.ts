/** Tests which gateway claims the duties and when, and how usage counts of several gateways are merged. */
import t from 'tap';
import {
  UsageLedger,
  getActiveFromMs,
  shouldClaimDuty,
  type DutyView,
} from '../../../src/controllers/duties/index.js';
import type {DutyClaim} from '../../../src/gossip/index.js';

const VIEW: DutyView = {
  ownId: 'g1',
  claim: {token: 5, holderId: 'g0'},
  candidateIds: ['g1', 'g2', 'g3'],
  canClaim: true,
  holderUnreachableSinceMs: 10_000,
  startedAtMs: 0,
};

t.test('shouldClaimDuty', t => {
  const doTest = (name: string, view: Partial<DutyView>, nowMs: number, expected: boolean) => {
    t.test(name, t => {
      t.equal(shouldClaimDuty({...VIEW, ...view}, nowMs), expected);
      t.end();
    });
  };
  doTest(
    'no claim while the holder is reachable',
    {holderUnreachableSinceMs: undefined},
    99_000,
    false,
  );
  doTest('the first candidate waits for the holder timeout', {}, 11_499, false);
  doTest('the first candidate claims after the holder timeout', {}, 11_500, true);
  doTest('the second candidate waits longer', {ownId: 'g2'}, 12_499, false);
  doTest('the second candidate claims after its own delay', {ownId: 'g2'}, 12_500, true);
  doTest('no claim while the store is unreachable', {canClaim: false}, 99_000, false);
  doTest('no claim by a gateway that is not a candidate', {ownId: 'g9'}, 99_000, false);
  doTest('no claim right after the start', {startedAtMs: 11_000}, 11_900, false);
  const ownClaim = {token: 5, holderId: 'g1'};
  doTest('the previous holder claims at once after a restart', {claim: ownClaim}, 10, true);
  doTest(
    'the previous holder waits while the store is unreachable',
    {claim: ownClaim, canClaim: false},
    99_000,
    false,
  );
  t.end();
});

t.test('getActiveFromMs', t => {
  const getMs = (previous: DutyClaim) =>
    getActiveFromMs({ownId: 'g1', previous, claimedAtMs: 1_000}, 3_000);
  t.equal(getMs({token: 4, holderId: 'g0'}), 4_000, 'waits for the lease of another holder');
  t.equal(getMs({token: 4, holderId: 'g1'}), 1_000, 'continues at once after its own claim');
  t.equal(getMs({token: 0, holderId: ''}), 1_000, 'starts at once without an earlier claim');
  t.end();
});

t.test('UsageLedger', t => {
  t.test('sums counts over all gateways and their incarnations', t => {
    const ledger = new UsageLedger(5);
    const window = ledger.getWindow(1_000_000);
    ledger.addRequest('w', 1_000_000);
    ledger.addRequest('v', 1_000_100);
    ledger.mergePeerUsage('g2', 1, [{window, workspace: 'w', requests: 3}]);
    ledger.mergePeerUsage('g2', 1, [{window, workspace: 'w', requests: 2}]);
    ledger.mergePeerUsage('g2', 2, [{window, workspace: 'w', requests: 1}]);
    t.same(
      [...ledger.getTotal(window)],
      [
        ['w', 5],
        ['v', 1],
      ],
    );
    t.equal(ledger.getWindowEndMs(window), 1_005_000);
    t.end();
  });
  t.test('keeps the six newest windows and returns as many as requested', t => {
    const ledger = new UsageLedger(5);
    for (let second = 0; second < 60; second += 5) ledger.addRequest('w', second * 1_000);
    t.equal(ledger.getOwnUsage().length, 6);
    t.same(
      ledger.getOwnUsage(2).map(({window}) => window),
      [10, 11],
    );
    t.end();
  });
  t.end();
});
