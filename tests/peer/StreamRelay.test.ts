/** Tests of the relay of the fleet stream's state between entries, over real sockets. */
import t from 'tap';
import {Blackboard, type Member} from '../../src/blackboard/index.js';
import {FleetFold} from '../../src/folds/index.js';
import {StreamFollower} from '../../src/log/index.js';
import {
  PeerClient,
  PeerKeys,
  PeerServer,
  StreamRelay,
  createReadLogHandler,
} from '../../src/peer/index.js';
import {encodeRecord} from '../../src/records/index.js';
import {createRealTimeLog, waitFor} from '../support/entries.js';
import type {FakeLog} from '../support/FakeLog.js';

/** A failure domain that an operator takes out of service must get no new work after this time. */
const OUT_BOUND_MS = 5_000;
const ADDRESS = '127.0.0.1';

/** Starts an entry's follower and relay of the fleet stream. */
function createReader(log: FakeLog, name: string, peers: readonly Member[]) {
  const fold = new FleetFold();
  const getNowMs = () => Date.now();
  const follower = new StreamFollower({stream: 'fleet', log, getNowMs, fold});
  const blackboard = new Blackboard();
  blackboard.setSection('peers', {members: peers});
  const client = new PeerClient({keys: new PeerKeys(['secret']), timeoutMs: 1_000});
  const relay = new StreamRelay({
    stream: 'fleet',
    follower,
    fold,
    client,
    blackboard,
    ownInstanceId: name,
    writer: name,
    getNowMs,
    random: Math.random,
    onAdopted: () => undefined,
  });
  follower.start();
  relay.start();
  const stop = async () => {
    await Promise.all([relay.stop(), follower.stop()]);
    client.close();
  };
  return {fold, relay, stop};
}

/** Returns the payload of a record that orders a failure domain in or out of service. */
function order(
  sequence: number,
  state: 'in' | 'out',
  replacesRevision: number,
  writer = 'ctl',
): string {
  const body = {kind: 'domain-order', failureDomain: 'fd-a', state, replacesRevision} as const;
  const origin = {requestedBy: 'ctl', requestedAtMs: 0};
  return encodeRecord({writer, sequence, body: {...body, ...origin}});
}

t.test('StreamRelay', t => {
  t.test(
    'provides an order to an entry that cannot reach the log, which then continues from the log',
    async t => {
      const [log, unreachableLog] = [createRealTimeLog(), createRealTimeLog()];
      unreachableLog.setOutage(true);
      const reader1 = createReader(log, 'e1', []);
      const server = new PeerServer({address: ADDRESS, port: 0, keys: new PeerKeys(['secret'])});
      server.addHandlers(createReadLogHandler([reader1.relay]));
      const peerPort = await server.start();
      const reader2 = createReader(unreachableLog, 'e2', [
        {
          instanceId: 'e1',
          state: 'alive',
          incarnation: 1,
          address: ADDRESS,
          peerPort,
          callersPort: 1,
          failureDomain: 'fd-a',
          configurationRevision: 1,
          changedAtMs: 0,
        },
      ]);
      const isOut = () => reader2.fold.getFailureDomains().some(({state}) => state === 'out');
      await log.append('fleet', [order(1, 'out', 0)]);
      t.ok(await waitFor(isOut, OUT_BOUND_MS), 'order received from the peer');
      await unreachableLog.append('fleet', []).catch(() => 0);
      unreachableLog.setOutage(false);
      await unreachableLog.append('fleet', [order(1, 'out', 0), order(2, 'in', 1)]);
      t.ok(await waitFor(() => !isOut(), OUT_BOUND_MS), 'continues at the offset of the snapshot');
      await unreachableLog.append('fleet', [order(1, 'out', 2, 'e1')]);
      t.ok(await waitFor(isOut, OUT_BOUND_MS), "accepts the peer's own first record");
      await Promise.all([reader1.stop(), reader2.stop()]);
      await server.stop();
    },
  );
  t.end();
});
