/** Tests of the peer client's behaviour when a connection stalls. */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import t from 'tap';
import {PeerClient, PeerKeys, PeerServer} from '../../src/peer/index.js';

const ADDRESS = '127.0.0.1';
const KEYS = new PeerKeys(['secret']);

/** Starts a TCP proxy whose open connections can be stalled: they stay open, but their data is discarded. */
async function createProxy(targetPort: number) {
  const sockets = new Set<Socket>();
  const server = createServer(inner => {
    const outer = connect(targetPort, ADDRESS);
    for (const socket of [inner, outer]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
    }
    inner.pipe(outer).pipe(inner);
  });
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve));
  const stall = () => {
    for (const socket of sockets) {
      socket.unpipe();
      socket.removeAllListeners('data');
      socket.resume();
    }
  };
  const stop = () => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  };
  return {port: (server.address() as AddressInfo).port, stall, stop};
}

t.test('PeerClient', t => {
  t.test('replaces a stalled connection after one failed call', async t => {
    const server = new PeerServer({address: ADDRESS, port: 0, keys: KEYS});
    server.addHandlers({probe: ({sequence}) => ({sequence})});
    const proxy = await createProxy(await server.start());
    const client = new PeerClient({keys: KEYS, timeoutMs: 1_000});
    const calls = client.getCalls({address: ADDRESS, peerPort: proxy.port});
    const probe = () =>
      calls
        .probe({sequence: 1n})
        .then(() => 'answered')
        .catch(() => 'failed');
    t.equal(await probe(), 'answered');
    proxy.stall();
    t.equal(await probe(), 'failed');
    t.equal(await probe(), 'answered');
    client.close();
    await server.stop();
    proxy.stop();
  });
  t.end();
});
