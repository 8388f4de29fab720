/** Tests of version moves by a fleet daemon, with stand-ins of the platform and evidence from a fake entry. */
import t from 'tap';
import {isMoveEnded} from '../../src/folds/index.js';
import {CONFIGURATION, GUIDANCE} from '../support/deployment.js';
import {FakeEntry} from '../support/FakeEntry.js';
import {FleetHarness, waitFor} from '../support/FleetHarness.js';

const MOVE_MS = 60_000;
const FILE_TIMEOUT_MS = 200_000;
t.setTimeout(FILE_TIMEOUT_MS);

const PRICES = ['oslo-a', 'oslo-b'].map(failureDomain => ({
  failureDomain,
  machineClass: 'a100',
  market: 'reclaimable' as const,
  priceUsdPerHour: 1,
}));

t.test('MoveRunner', t => {
  function doTest(name: string, badVersion: string | undefined, expected: string) {
    t.test(name, async t => {
      const service = {...GUIDANCE, targetReplicas: 2};
      const workspaces = CONFIGURATION.workspaces.map(workspace => ({
        ...workspace,
        keys: [{sha256: '0'.repeat(64)}],
      }));
      const harness = new FleetHarness(PRICES);
      await harness.start({...CONFIGURATION, services: [service], workspaces});
      const entry = new FakeEntry({harness, service, badVersion});
      await entry.start();
      t.teardown(async () => {
        await entry.stop();
        await harness.stop();
      });
      harness.startDaemon('fleet-1');
      const requestedAtMs = Date.now();
      await harness.append('fleet', {
        kind: 'move-request',
        moveId: 'm1',
        service: service.name,
        fromVersion: 'v1',
        toVersion: 'v2',
        requestedAtMs,
        deadlineAtMs: requestedAtMs + MOVE_MS,
        requestedBy: 'operator',
      });
      const hasEnded = async () => {
        const [move] = (await harness.readFleet()).getMoves();
        return move !== undefined && isMoveEnded(move);
      };
      t.ok(await waitFor(MOVE_MS + 5_000, hasEnded));
      const [move] = (await harness.readFleet()).getMoves();
      t.equal(move?.phase, expected, move?.reason ?? 'no reason given');
      t.ok(move && move.changedAtMs <= move.deadlineAtMs, 'ended before the deadline');
    });
  }

  doTest('rolls back a bad version', 'v2', 'taken-back');
  doTest('completes the move to a good version before the deadline', undefined, 'done');
  t.end();
});
