/** Cost of membership probes over HTTP between a client and a server in this process: bytes on the wire and CPU time. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {PeerClient, PeerKeys, PeerServer, type PeerCalls} from '../../src/peer/index.js';
import {toWireMemberUpdate} from '../../src/peer/memberUpdateCodec.js';
import {createMember} from './Fixtures.js';
import type {SlopeDefinition} from './SlopeDefinition.js';

const UPDATE_COUNTS = [0, 2, 4, 8];
const WARM_UP_CALLS = 500;
const MEASURED_CALLS = 1_000;
const TIMEOUT_MS = 5_000;
const LOCAL = '127.0.0.1';

interface CallCost {
  readonly bytes: number;
  readonly cpuMicros: number;
}

/** TCP proxy that counts the bytes of all connections in both directions. */
class CountingRelay {
  private readonly sockets = new Set<Socket>();
  private bytes = 0;
  private readonly server;

  constructor(targetPort: number) {
    this.server = createServer(from => {
      const to = connect(targetPort, LOCAL);
      for (const [source, target] of [
        [from, to],
        [to, from],
      ] as const) {
        this.sockets.add(source);
        source.on('error', () => undefined);
        source.on('data', data => {
          this.bytes += data.length;
          target.write(data);
        });
      }
    });
  }

  async start(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, LOCAL, resolve));
    return (this.server.address() as AddressInfo).port;
  }

  getBytes(): number {
    return this.bytes;
  }

  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}

async function measureProbe(updateCount: number, isRelayed: boolean): Promise<CallCost> {
  const updates = Array.from({length: updateCount}, (_, index) =>
    toWireMemberUpdate(createMember(index + 1)),
  );
  const message = {
    sequence: 1_000n,
    rumours: updates,
    configurationRevision: 1_000n,
    logReadAgeMs: 500n,
  };
  const keys = new PeerKeys(['capacity-deployment-key-0123456789']);
  const server = new PeerServer({address: LOCAL, port: 0, keys});
  server.addHandlers({probe: () => message});
  const serverPort = await server.start();
  const relay = new CountingRelay(serverPort);
  const peerPort = isRelayed ? await relay.start() : serverPort;
  const client = new PeerClient({keys, timeoutMs: TIMEOUT_MS});
  const calls = client.getCalls({address: LOCAL, peerPort});
  const request = {...message, fromInstanceId: createMember(0).instanceId};
  await runCalls(calls, request, WARM_UP_CALLS);
  const bytesBefore = relay.getBytes();
  const cpuBefore = process.cpuUsage();
  await runCalls(calls, request, MEASURED_CALLS);
  const {user, system} = process.cpuUsage(cpuBefore);
  const bytes = relay.getBytes() - bytesBefore;
  client.close();
  relay.stop();
  await server.stop();
  return {bytes: bytes / MEASURED_CALLS, cpuMicros: (user + system) / MEASURED_CALLS};
}

async function runCalls(
  calls: PeerCalls,
  request: Parameters<PeerCalls['probe']>[0],
  count: number,
): Promise<void> {
  for (let index = 0; index < count; index++) await calls.probe(request);
}

/** Measured quantities of probe calls, by the number of membership updates that they carry. */
export const PEER_SLOPES: readonly SlopeDefinition[] = [
  {
    id: 'probe-wire-bytes',
    description: 'a probe and its answer over HTTP, headers counted, both ways',
    sizeUnit: 'rumours each way',
    valueUnit: 'bytes',
    sizes: UPDATE_COUNTS,
    measure: async count => (await measureProbe(count, true)).bytes,
  },
  {
    id: 'probe-call-cpu',
    description: 'the call of a probe over HTTP, sent and answered in one process',
    sizeUnit: 'rumours each way',
    valueUnit: 'us',
    sizes: UPDATE_COUNTS,
    measure: async count => (await measureProbe(count, false)).cpuMicros,
  },
];
