/** Tests of the instance registry that the cloud API and instance list stand-ins share. */
import t from 'tap';
import {InstanceRegistry} from '../../../standins/index.js';
import type {Instance} from '../../../src/blackboard/index.js';

const INSTANCE: Instance = {
  instanceId: 'i1',
  role: 'backend',
  address: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  machineClass: 'standard',
  market: 'reclaimable',
  state: 'live',
};

t.test('InstanceRegistry.getInstances', t => {
  const registry = new InstanceRegistry();
  registry.putInstance(INSTANCE, 100);
  registry.addNotice('i1', 900, 200);
  registry.removeInstance('i1', 900);

  function doTest(name: string, atMs: number, expected: readonly string[]) {
    t.test(name, t => {
      t.same(
        registry.getInstances(atMs).map(({state}) => state),
        expected,
      );
      t.end();
    });
  }

  doTest('before registration', 99, []);
  doTest('after registration', 199, ['live']);
  doTest('after the notice', 200, ['leaving']);
  doTest('after removal', 900, ['gone']);
  t.end();
});

t.test('InstanceRegistry.getNotices', t => {
  const registry = new InstanceRegistry();
  registry.putInstance(INSTANCE, 100);
  registry.addNotice('i1', 900, 200);
  t.same(registry.getNotices(0), [{sequence: 0, instanceId: 'i1', leavingAtMs: 900}]);
  t.same(registry.getNotices(1), []);
  t.end();
});
