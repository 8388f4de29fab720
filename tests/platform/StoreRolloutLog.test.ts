/** Tests of writing the verdicts of roll-outs for the operators and for later duty holders. */
import t from 'tap';
import {StoreClient} from '../../platform/StoreClient.js';
import {StoreRolloutLog} from '../../platform/StoreRolloutLog.js';
import {TOPICS} from '../../platform/names.js';
import {decodeKeyedRecord} from '../../platform/records.js';
import {silentEvents} from '../../src/logging/index.js';
import {StoreStandIn} from './StoreStandIn.js';

const RUNNING = {service: 'app', targetVersion: 'v2', phase: 'running'} as const;
const ROLLED_BACK = {...RUNNING, phase: 'rolled-back'} as const;
const CLAIM = {token: 3, holderId: 'g1'};

t.test('StoreRolloutLog', async t => {
  const store = new StoreStandIn();
  const address = await store.start();
  t.teardown(() => store.stop());
  const createLog = () =>
    new StoreRolloutLog(new StoreClient({address, events: silentEvents, onCall: () => undefined}));
  const getNewest = () => {
    const record = decodeKeyedRecord(store.getRecords(TOPICS.status).at(-1) ?? Buffer.alloc(0));
    return {key: record?.key, value: String(record?.value)};
  };

  t.test('writes the state in the form that operators read, and reads it back', async t => {
    const log = createLog();
    t.equal(await log.writeVerdict(RUNNING, CLAIM), 'done');
    t.same(getNewest(), {key: 'rollout/app', value: '{"state":"running","target":"v2"}'});
    t.equal(await log.writeVerdict(ROLLED_BACK, CLAIM), 'done');
    t.same(getNewest().value, '{"state":"rolled_back","target":"v2"}');
    t.same((await log.readVerdicts())?.get('app'), ROLLED_BACK);
  });

  t.test('a verdict whose write is in doubt is not taken for an earlier one', async t => {
    const log = createLog();
    const claim = {...CLAIM, token: 4};
    store.mode = 'loses-responses';
    t.equal(await log.writeVerdict(RUNNING, claim), 'unavailable');
    store.mode = 'works';
    t.equal(await log.writeVerdict(ROLLED_BACK, claim), 'done');
    t.same(getNewest().value, '{"state":"rolled_back","target":"v2"}');
  });

  t.test('a write that the store has not got is made good', async t => {
    const log = createLog();
    const claim = {...CLAIM, token: 5};
    t.equal(await log.writeVerdict(RUNNING, claim), 'done');
    store.mode = 'silent';
    t.equal(await log.writeVerdict(ROLLED_BACK, claim), 'unavailable');
    store.mode = 'works';
    t.equal(await log.writeVerdict(ROLLED_BACK, claim), 'unavailable', 'a number too high');
    t.equal(await log.writeVerdict(ROLLED_BACK, claim), 'done');
    t.same(getNewest().value, '{"state":"rolled_back","target":"v2"}');
  });

  t.test('an earlier duty holder is refused', async t => {
    t.equal(await createLog().writeVerdict(RUNNING, {...CLAIM, token: 2}), 'superseded');
    store.mode = 'refuses';
    t.equal(await createLog().readVerdicts(), undefined);
  });
});
