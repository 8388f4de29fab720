/** Addresses for callers, and requests that arrive before a start is complete. */
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
  t.test('names the near gateways first and fills up from the same region', t => {
    const members = [member('b1', 'b'), member('a1', 'a'), member('c1', 'c'), member('a2', 'a')];
    t.same(choose(members, 'a'), ['a1', 'a2', 'b1']);
    t.end();
  });
  t.test('names another region only where the own one has none', t => {
    t.same(choose([member('a1', 'a')], 'c'), ['a1']);
    t.end();
  });
  t.test('names enough gateways to outlive the loss of several, and no more', t => {
    const members = Array.from({length: 20}, (_, index) => member(`b${index}`, 'b'));
    t.equal(choose([member('a1', 'a'), ...members], 'a').length, 6);
    t.end();
  });
  t.end();
});

t.test('StartGate', t => {
  t.test('serves at once what arrives after the deployment is known', t => {
    const gate = new StartGate({isInformed: () => true, getNowMs: () => 0});
    let served = 0;
    gate.pass(() => (served += 1));
    t.equal(served, 1);
    t.end();
  });
  t.test('holds requests until it is known, in their order', async t => {
    let isInformed = false;
    const gate = new StartGate({isInformed: () => isInformed, getNowMs: () => 0});
    const served: number[] = [];
    const done = new Promise<void>(resolve => {
      gate.pass(() => served.push(1));
      gate.pass(() => {
        served.push(2);
        resolve();
      });
    });
    t.same(served, []);
    isInformed = true;
    await done;
    t.same(served, [1, 2]);
  });
  t.test('lets requests go when their time is up', async t => {
    let nowMs = 0;
    const gate = new StartGate({isInformed: () => false, getNowMs: () => nowMs});
    const done = new Promise<void>(resolve => gate.pass(resolve));
    nowMs = 800;
    await done;
    t.pass('served');
  });
  t.end();
});
