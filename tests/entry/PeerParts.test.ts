/** Tests of an entry's peer components over real sockets. */
import t from 'tap';
import {Blackboard} from '../../src/blackboard/index.js';
import {EntryClock} from '../../src/entry/EntryClock.js';
import {PeerParts} from '../../src/entry/PeerParts.js';
import {encodeRecord} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';
import {createRealTimeLog, waitFor} from '../support/entries.js';

const HOUR_MS = 3_600_000;
const GRACE_MS = 1_000;
/** A published configuration must be in force at every entry within this time. */
const IN_FORCE_BOUND_MS = 6_000;

const SETTINGS = {
  instanceId: 'e1',
  failureDomain: 'fd-a',
  address: '127.0.0.1',
  port: 0,
  peerPort: 0,
  logUrl: 'http://127.0.0.1:1',
  listUrl: 'http://127.0.0.1:1',
  deploymentKeys: ['a-deployment-key'],
  statsdAddress: undefined,
  statsdPort: 0,
  logLevel: 'error',
  listIntervalMs: 1_000,
  reportIntervalMs: 1_000,
  drainTimeoutMs: 1_000,
  maxBodyBytes: 1_000,
  bodyTimeoutMs: 1_000,
  maxRunningRequests: 1,
  maxQueuedRequests: 1,
  snapshotIntervalMs: 60_000,
} as const;

t.test('PeerParts', t => {
  t.test('an outdated configuration stays outdated when the wall clock is set back', async t => {
    const log = createRealTimeLog();
    let wallStepMs = 0;
    const clock = new EntryClock({
      getWallMs: () => Date.now() + wallStepMs,
      getMonotonicMs: () => performance.now(),
    });
    const parts = new PeerParts({
      settings: SETTINGS,
      blackboard: new Blackboard(),
      log,
      writer: 'e1',
      getNowMs: clock.getWallMs,
      getAgeClockMs: clock.getAgeClockMs,
      random: Math.random,
      onIncidents: () => undefined,
      onHandover: () => [],
    });
    await parts.start(1);
    const configuration = {...createConfiguration('x'), staleConfigurationGraceMs: GRACE_MS};
    const body = {kind: 'configuration', replacesRevision: 0, publishedBy: 'x'} as const;
    const record = {writer: 'x', sequence: 1, body: {...body, configuration}};
    await log.append('configuration', [encodeRecord(record)]);
    const isCurrent = () => parts.getCurrency().currency === 'current';
    t.ok(await waitFor(isCurrent, IN_FORCE_BOUND_MS), 'in force');
    log.setOutage(true);
    wallStepMs = -HOUR_MS;
    t.ok(await waitFor(() => !isCurrent(), GRACE_MS + IN_FORCE_BOUND_MS), 'no longer current');
    await parts.stop();
  });
  t.end();
});
