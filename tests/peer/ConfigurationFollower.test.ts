/** Tests of configuration and membership between entries over real sockets. */
import t from 'tap';
import {encodeRecord} from '../../src/records/index.js';
import {createConfiguration} from '../support/configurations.js';
import {createRealTimeLog, startEntry, waitFor, type TestEntry} from '../support/entries.js';

/** A published configuration must be in force at every entry within this time. */
const IN_FORCE_BOUND_MS = 6_000;
/** A dead or leaving entry must be detected by its peers within this time. */
const DETECTION_BOUND_MS = 10_000;

/** Returns the payload of a record that publishes a configuration. */
function publish(replacesRevision: number, name: string): string {
  const configuration = createConfiguration(name);
  const body = {kind: 'configuration', replacesRevision, publishedBy: name, configuration} as const;
  return encodeRecord({writer: name, sequence: 1, body});
}

function getRevision({blackboard}: TestEntry): number {
  return blackboard.getSection('configuration').revision;
}

t.test('ConfigurationFollower', t => {
  t.test('adopts new revisions from a peer while it cannot reach the log', async t => {
    const [log, unreachableLog] = [createRealTimeLog(), createRealTimeLog()];
    unreachableLog.setOutage(true);
    const entry1 = await startEntry('e1', log, []);
    await log.append('configuration', [publish(0, 'one')]);
    const entry2 = await startEntry('e2', unreachableLog, [entry1]);
    t.ok(
      await waitFor(() => getRevision(entry2) === 1, IN_FORCE_BOUND_MS),
      'first revision adopted during an outage',
    );
    await log.append('configuration', [publish(1, 'two'), publish(1, 'loser')]);
    t.ok(
      await waitFor(() => getRevision(entry2) === 2, IN_FORCE_BOUND_MS),
      'second revision adopted in time',
    );
    t.equal(entry2.blackboard.getSection('configuration').configuration?.deployment, 'two');
    const isCurrent = () => entry2.configuration.getCurrency().currency === 'current';
    t.ok(await waitFor(isCurrent, IN_FORCE_BOUND_MS), 'current, as confirmed by the peer');
    await Promise.all([entry1.stop(), entry2.stop()]);
  });

  t.test('starts from a snapshot if retention has dropped earlier records', async t => {
    const log = createRealTimeLog();
    const configuration = createConfiguration('five');
    const body = {kind: 'configuration-snapshot', coversOffset: 1, revision: 5, configuration};
    const snapshot = JSON.stringify({writer: 'old', sequence: 9, body});
    await log.append('configuration', [publish(0, 'x'), publish(1, 'y'), snapshot]);
    log.dropBefore('configuration', 2);
    const entry1 = await startEntry('e1', log, []);
    t.ok(await waitFor(() => getRevision(entry1) === 5, IN_FORCE_BOUND_MS));
    await log.append('configuration', [publish(5, 'six')]);
    t.ok(await waitFor(() => getRevision(entry1) === 6, IN_FORCE_BOUND_MS));
    await entry1.stop();
  });
  t.end();
});

t.test('MembershipLoop', t => {
  t.test('detects alive, leaving and dead peers', async t => {
    const log = createRealTimeLog();
    const entry1 = await startEntry('e1', log, []);
    const entry2 = await startEntry('e2', log, [entry1]);
    const entry3 = await startEntry('e3', log, [entry1]);
    const getState = (entry: TestEntry, instanceId: string) =>
      entry.blackboard.getSection('peers').members.find(member => member.instanceId === instanceId)
        ?.state;
    t.ok(
      await waitFor(() => getState(entry2, 'e3') === 'alive', DETECTION_BOUND_MS),
      'alive, from a membership update',
    );
    entry3.membership.leave();
    t.ok(await waitFor(() => getState(entry2, 'e3') === 'leaving', DETECTION_BOUND_MS), 'leaving');
    await entry1.stop();
    t.ok(await waitFor(() => getState(entry2, 'e1') === 'dead', DETECTION_BOUND_MS), 'dead');
    t.ok(await waitFor(() => getState(entry3, 'e1') === 'dead', DETECTION_BOUND_MS), 'dead');
    await Promise.all([entry2.stop(), entry3.stop()]);
  });
  t.end();
});
