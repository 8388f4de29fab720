/** Tests of instance starts and reclaim notices of the cloud API stand-in. */
import t from 'tap';
import {request} from 'undici';
import {CloudApi, InstanceRegistry, type StartRequest} from '../../../standins/index.js';

const START: StartRequest = {
  clientToken: 'token-1',
  machineClass: 'standard',
  failureDomain: 'a',
  market: 'reclaimable',
  role: 'backend',
  service: 'guidance',
  version: 'v1',
};

async function startCloud() {
  const registry = new InstanceRegistry();
  const started: string[] = [];
  const cloud = new CloudApi({
    address: '127.0.0.1',
    port: 0,
    registry,
    prices: [],
    startDelayMs: 0,
    startBackend: async instanceId => {
      started.push(instanceId);
      return {port: 1, stop: async () => undefined};
    },
    random: () => 0,
  });
  await cloud.start();
  const call = async (method: 'GET' | 'POST' | 'PUT', path: string, body?: object) => {
    const url = `http://127.0.0.1:${cloud.getPort()}${path}`;
    const answer = await request(url, {method, body: body && JSON.stringify(body)});
    return {status: answer.statusCode, value: await answer.body.json()};
  };
  return {cloud, registry, started, call};
}

t.test('CloudApi', t => {
  t.test('starts one instance for repeated requests with the same client token', async t => {
    const {cloud, call, started} = await startCloud();
    t.teardown(() => cloud.stop());
    const first = await call('POST', '/v1/instances', START);
    t.same(await call('POST', '/v1/instances', START), first);
    while (started.length === 0) await new Promise(resolve => setTimeout(resolve, 5));
    t.equal(started.length, 1);
  });

  t.test('starts nothing when it refuses a start', async t => {
    const {cloud, call, started} = await startCloud();
    t.teardown(() => cloud.stop());
    await call('PUT', '/standin/faults', {refuseStartsPercent: 100});
    t.match(await call('POST', '/v1/instances', START), {
      status: 409,
      value: {error: 'no-capacity'},
    });
    t.same(started, []);
  });

  t.test(
    'delivers a notice to a waiting read, and removes the instance after the grace period',
    async t => {
      const {cloud, call, registry} = await startCloud();
      t.teardown(() => cloud.stop());
      const place = {address: '127.0.0.1', port: 1, failureDomain: 'a', machineClass: 'standard'};
      const entry = {
        instanceId: 'e1',
        role: 'entry',
        market: 'reclaimable',
        state: 'live',
      } as const;
      registry.putInstance({...place, ...entry}, Date.now());
      const waiting = call('GET', '/v1/notices?from=0&waitMs=10000');
      await call('POST', '/standin/notices', {failureDomain: 'a', graceMs: 20});
      t.match((await waiting).value, {notices: [{instanceId: 'e1'}], nextSequence: 1});
      while (registry.getInstance('e1')?.state !== 'gone') {
        await new Promise(resolve => setTimeout(resolve, 5));
      }
    },
  );
  t.end();
});
