/** Entries built from the peer-to-peer classes on ephemeral ports, with an in-memory log. */
import {setTimeout as wait} from 'node:timers/promises';
import {Blackboard} from '../../src/blackboard/index.js';
import {systemSleep} from '../../src/log/index.js';
import {
  ConfigurationFollower,
  MembershipLoop,
  PeerClient,
  PeerKeys,
  PeerServer,
} from '../../src/peer/index.js';
import {FakeLog} from './FakeLog.js';

const KEYS = new PeerKeys(['secret']);
const ADDRESS = '127.0.0.1';

/** A running entry with membership and configuration, but without an HTTP server for callers. */
export interface TestEntry {
  readonly instanceId: string;
  readonly peerPort: number;
  readonly blackboard: Blackboard;
  readonly log: FakeLog;
  readonly membership: MembershipLoop;
  readonly configuration: ConfigurationFollower;
  readonly stop: () => Promise<void>;
}

/** Starts an entry whose instance list holds the given peers. */
export async function startEntry(
  instanceId: string,
  log: FakeLog,
  peers: readonly TestEntry[],
): Promise<TestEntry> {
  const blackboard = new Blackboard();
  const client = new PeerClient({keys: KEYS, timeoutMs: 1_000});
  const getNowMs = () => Date.now();
  const random = () => Math.random();
  const configuration = new ConfigurationFollower({
    log,
    client,
    blackboard,
    writer: instanceId,
    getNowMs,
    random,
  });
  const self = {instanceId, address: ADDRESS, callersPort: 1, failureDomain: 'fd-a'};
  const peerServer = new PeerServer({address: ADDRESS, port: 0, keys: KEYS});
  const peerPort = await peerServer.start();
  const membership = new MembershipLoop({
    self: {...self, peerPort},
    client,
    blackboard,
    getNowMs,
    random,
    onProbeResult: (reading, member) => configuration.recordProbeResult(reading, member),
  });
  peerServer.addHandlers({...configuration.getHandlers(), ...membership.getHandlers()});
  blackboard.setSection('instances', {
    readAtMs: getNowMs(),
    instances: peers.map(peer => ({
      ...self,
      instanceId: peer.instanceId,
      role: 'entry',
      port: 1,
      peerPort: peer.peerPort,
      machineClass: 'small',
      market: 'reclaimable',
      state: 'live',
    })),
  });
  configuration.start();
  membership.start();
  const stop = async () => {
    await Promise.all([membership.stop(), configuration.stop(), peerServer.stop()]);
    client.close();
  };
  return {instanceId, peerPort, blackboard, log, membership, configuration, stop};
}

/** Returns an in-memory log that runs on the system clock. */
export function createRealTimeLog(): FakeLog {
  return new FakeLog({getNowMs: () => Date.now(), sleep: systemSleep});
}

/** Polls until the condition holds or `boundMs` have passed; returns whether it holds at the end. */
export async function waitFor(condition: () => boolean, boundMs: number): Promise<boolean> {
  const endMs = Date.now() + boundMs;
  while (!condition() && Date.now() < endMs) await wait(20);
  return condition();
}
