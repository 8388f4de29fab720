/** Tests of an entry that aggregates the claims of another, over real sockets. */
import t from 'tap';
import {Blackboard, type Member} from '../../src/blackboard/index.js';
import {ClaimService} from '../../src/claims/index.js';
import {MAX_ENTRIES_WITHOUT_AGGREGATORS} from '../../src/controllers/claims/index.js';
import {
  PeerClient,
  PeerKeys,
  PeerServer,
  createClaimAggregation,
  createClaimHandlers,
} from '../../src/peer/index.js';
import {createRealTimeLog} from '../support/entries.js';

const ADDRESS = '127.0.0.1';
const KEYS = new PeerKeys(['secret']);
const REQUEST_COUNT = 40;
const ANSWER = {status: 201, contentType: 'text/plain', bodyBase64: 'b2s='};

/** Starts two claim services, of which the second sends its claims to the first. */
async function createPair() {
  const log = createRealTimeLog();
  const blackboard = new Blackboard();
  const client = new PeerClient({keys: KEYS, timeoutMs: 1_000});
  const getNowMs = () => Date.now();
  const options = {log, getNowMs, isClaimantLive: () => true};
  const aggregator = new ClaimService({...options, claimant: 'e1'});
  const server = new PeerServer({address: ADDRESS, port: 0, keys: KEYS});
  const handlers = createClaimHandlers(aggregator);
  let callCount = 0;
  server.addHandlers({
    gatherClaims: (batch, context) => {
      callCount += 1;
      return handlers.gatherClaims?.(batch, context) ?? {};
    },
  });
  const peerPort = await server.start();
  const aggregation = createClaimAggregation(blackboard, client, 'e2');
  const service = new ClaimService({...options, claimant: 'e2', aggregation});
  const member: Member = {
    instanceId: 'e1',
    state: 'alive',
    incarnation: 1,
    address: ADDRESS,
    peerPort,
    callersPort: 1,
    failureDomain: 'fd-a',
    configurationRevision: 1,
    changedAtMs: 0,
  };
  blackboard.setSection('peers', {members: createMembers(member)});
  aggregator.start();
  service.start();
  const stop = async () => {
    await Promise.all([aggregator.stop(), service.stop()]);
    client.close();
  };
  return {log, aggregator, service, server, stop, getCallCount: () => callCount};
}

/** Returns enough members for claims to be aggregated; all share the address of the given one. */
function createMembers(member: Member): readonly Member[] {
  return Array.from({length: MAX_ENTRIES_WITHOUT_AGGREGATORS + 1}, (empty, index) => {
    return {...member, instanceId: `e1-${index}`};
  });
}

t.test('ClaimCalls', t => {
  const request = {workspace: 'w', key: 'k', attemptId: 'a1', fingerprint: 'f'};

  t.test('sends claims and outcomes to the log through the aggregator', async t => {
    const {log, aggregator, service, server, stop} = await createPair();
    t.equal((await service.claim(request)).verdict, 'granted');
    t.match(log.getRecords('claims')[0].payload, /"writer":"e1".*"claimant":"e2"/);
    const outcome = {
      workspace: 'w',
      key: 'k',
      attemptId: 'a1',
      run: 'ran',
      answer: ANSWER,
    } as const;
    t.equal(await service.recordOutcome(outcome), true);
    t.match(log.getRecords('claims')[1].payload, /"writer":"e1"/);
    const repeat = await aggregator.claim({...request, attemptId: 'a2'});
    t.same(repeat, {verdict: 'done', answer: ANSWER, isKnownNotRun: false});
    await stop();
    await server.stop();
  });

  t.test('batches concurrent claims and outcomes into shared calls', async t => {
    const {service, server, stop, getCallCount} = await createPair();
    const keys = Array.from({length: REQUEST_COUNT}, (empty, index) => `k${index}`);
    const runRequest = async (key: string) => {
      const {verdict} = await service.claim({...request, key, attemptId: key});
      const outcome = {workspace: 'w', key, attemptId: key, run: 'ran', answer: ANSWER} as const;
      return verdict === 'granted' && (await service.recordOutcome(outcome));
    };
    t.ok((await Promise.all(keys.map(runRequest))).every(Boolean));
    t.ok(getCallCount() < REQUEST_COUNT / 2, `${getCallCount()} calls`);
    await stop();
    await server.stop();
  });

  t.test('appends a claim directly if the aggregator is unreachable', async t => {
    const {log, service, server, stop} = await createPair();
    await server.stop();
    t.equal((await service.claim(request)).verdict, 'granted');
    t.match(log.getRecords('claims')[0].payload, /"writer":"e2"/);
    await stop();
  });
  t.end();
});
