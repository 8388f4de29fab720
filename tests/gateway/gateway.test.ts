/** Choice of gateway addresses for callers, and requests that arrive before the gateway knows the deployment. */
import t from 'tap';
import {chooseCallerAddresses} from '../../src/gateway/index.js';
import {StartGate} from '../../src/gateway/StartGate.js';
import type {GatewayMember} from '../../src/gossip/index.js';
import {createMember} from './gatewayFixtures.js';

const REGIONS = new Map([
  ['a', 'north'],
  ['b', 'north'],
  ['c', 'south'],
]);

function member(id: string, failureDomain: string): GatewayMember {
  return createMember(id, {failureDomain});
}

function choose(members: readonly GatewayMember[], domain: string | undefined): readonly string[] {
  return chooseCallerAddresses(members, domain, name => REGIONS.get(name));
}

t.test('chooseCallerAddresses', t => {
  t.test('lists gateways of the same failure domain first, then others of the region', t => {
    const members = [member('b1', 'b'), member('a1', 'a'), member('c1', 'c'), member('a2', 'a')];
    t.same(choose(members, 'a'), ['a1', 'a2', 'b1']);
    t.end();
  });
  t.test("lists another region only if the caller's region has no gateway", t => {
    t.same(choose([member('a1', 'a')], 'c'), ['a1']);
    t.end();
  });
  t.test('lists just enough gateways to survive the loss of several', t => {
    const members = Array.from({length: 20}, (_, index) => member(`b${index}`, 'b'));
    t.equal(choose([member('a1', 'a'), ...members], 'a').length, 6);
    t.end();
  });
  t.end();
});

t.test('StartGate', t => {
  t.test('serves a request at once if the deployment is known', t => {
    const gate = new StartGate({isDeploymentKnown: () => true, getNowMs: () => 0});
    let served = 0;
    gate.admit(() => (served += 1));
    t.equal(served, 1);
    t.end();
  });
  t.test('holds requests until the deployment is known, then serves them in order', async t => {
    let isKnown = false;
    const gate = new StartGate({isDeploymentKnown: () => isKnown, getNowMs: () => 0});
    const served: number[] = [];
    const done = new Promise<void>(resolve => {
      gate.admit(() => served.push(1));
      gate.admit(() => {
        served.push(2);
        resolve();
      });
    });
    t.same(served, []);
    isKnown = true;
    await done;
    t.same(served, [1, 2]);
  });
  t.test('serves a held request after the time limit', async t => {
    let nowMs = 0;
    const gate = new StartGate({isDeploymentKnown: () => false, getNowMs: () => nowMs});
    const done = new Promise<void>(resolve => gate.admit(resolve));
    nowMs = 800;
    await done;
    t.pass('served');
  });
  t.end();
});
