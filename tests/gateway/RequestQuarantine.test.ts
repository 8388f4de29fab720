/** One gateway's part in the quarantine: what it reports, what it refuses, and how a quarantine ends. */
import t from 'tap';
import type {SuspectRequest} from '../../src/controllers/quarantine/index.js';
import {RequestQuarantine} from '../../src/gateway/RequestQuarantine.js';
import {silentEvents} from '../../src/logging/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

const GATEWAYS = ['g1', 'g2', 'g3'];
let requests = 0;
const DEADLY: SuspectRequest = createRequest(['shared', 'deadly']);
const SOUND: SuspectRequest = createRequest(['shared', 'other']);
const ANSWER = {isFramed: true, sinceFirstEventMs: 500};
/** Longer than the first quarantine. */
const AFTER_QUARANTINE_MS = 31_000;

/** Returns a request that is like no other. */
function createRequest(parts: readonly string[]): SuspectRequest {
  requests += 1;
  return {
    service: 'app',
    workspace: 'w',
    method: 'POST',
    path: `/a/${requests}`,
    body: new Uint8Array(),
    promptPartIds: [...parts, 'own'],
  };
}

class Harness {
  nowMs = 0;
  hasStopped = true;
  isExpectedToServe = true;
  private crashes = 0;

  create(ownId: string): RequestQuarantine {
    return new RequestQuarantine({
      ownId,
      events: silentEvents,
      hasStopped: async () => this.hasStopped,
      isExpectedToServe: () => this.isExpectedToServe,
      getGatewayIds: () => GATEWAYS,
      isFleetKnown: () => true,
      getNowMs: () => this.nowMs,
      getWallMs: () => this.nowMs,
    });
  }

  /** Loses attempts of requests on one server, each with the time since its first event. */
  async crash(
    quarantine: RequestQuarantine,
    ...lost: readonly (readonly [SuspectRequest, number | undefined])[]
  ): Promise<void> {
    this.crashes += 1;
    this.nowMs += 1_000;
    const server = createServer(`s${this.crashes}`);
    for (const [request, sinceFirstEventMs] of lost) {
      quarantine.addLost({request, server, sinceFirstEventMs});
    }
    await new Promise(resolve => setImmediate(resolve));
  }
}

t.test('RequestQuarantine', t => {
  t.test('refuses requests with the part after three crashes, and no others', async t => {
    const harness = new Harness();
    const quarantine = harness.create('g1');
    for (let count = 0; count < 3; count += 1) {
      t.equal(quarantine.check(DEADLY, harness.nowMs).kind, 'run');
      await harness.crash(quarantine, [createRequest(['shared', 'deadly']), undefined]);
      quarantine.addAnswer(SOUND, ANSWER);
    }
    t.equal(quarantine.check(createRequest(['x', 'deadly']), harness.nowMs).kind, 'refused');
    t.equal(quarantine.check(SOUND, harness.nowMs).kind, 'run');
  });

  t.test('refuses a whole request that crashes servers, without prompt parts', async t => {
    const harness = new Harness();
    const quarantine = harness.create('g1');
    const request = {...createRequest([]), promptPartIds: []};
    for (let count = 0; count < 3; count += 1) {
      await harness.crash(quarantine, [request, undefined]);
    }
    t.equal(quarantine.check(request, harness.nowMs).kind, 'refused');
    t.equal(quarantine.check({...request, path: '/a/2'}, harness.nowMs).kind, 'run');
    t.equal(quarantine.check({...request, workspace: 'v'}, harness.nowMs).kind, 'run');
  });

  const doTestNoEvidence = (name: string, prepare: (harness: Harness) => number | undefined) => {
    t.test(`no evidence: ${name}`, async t => {
      const harness = new Harness();
      const quarantine = harness.create('g1');
      const sinceFirstEventMs = prepare(harness);
      for (let count = 0; count < 5; count += 1) {
        await harness.crash(quarantine, [DEADLY, sinceFirstEventMs]);
      }
      t.equal(quarantine.check(DEADLY, harness.nowMs).kind, 'run');
    });
  };
  doTestNoEvidence('the server still accepts connections', harness => {
    harness.hasStopped = false;
    return undefined;
  });
  doTestNoEvidence('the server had announced that it leaves', harness => {
    harness.isExpectedToServe = false;
    return undefined;
  });
  doTestNoEvidence('the response had begun long before', () => 2_000);

  t.test('a response that ends with its connection as it begins releases nothing', async t => {
    const harness = new Harness();
    const quarantine = harness.create('g1');
    for (let count = 0; count < 3; count += 1) {
      await harness.crash(quarantine, [DEADLY, undefined]);
    }
    quarantine.addAnswer(DEADLY, {isFramed: false, sinceFirstEventMs: 20});
    t.equal(quarantine.check(DEADLY, harness.nowMs).kind, 'refused');
    quarantine.addAnswer(DEADLY, {isFramed: false, sinceFirstEventMs: 500});
    t.equal(quarantine.check(DEADLY, harness.nowMs).kind, 'run');
  });

  t.test('tells the others, who refuse too', async t => {
    const harness = new Harness();
    const witness = harness.create('g1');
    const other = harness.create('g2');
    let news = 0;
    witness.setNewsListener(() => (news += 1));
    for (let count = 0; count < 3; count += 1) await harness.crash(witness, [DEADLY, undefined]);
    t.equal(news, 3);
    t.ok(other.applyFindings(witness.getFindings(true, harness.nowMs), harness.nowMs));
    t.notOk(other.applyFindings(witness.getFindings(true, harness.nowMs), harness.nowMs));
    const late = harness.create('g3');
    late.applyFindings(other.getFindings(true, harness.nowMs), harness.nowMs);
    t.equal(other.check(DEADLY, harness.nowMs).kind, 'refused');
    t.equal(late.check(DEADLY, harness.nowMs).kind, 'refused');
  });

  t.test('an objection of a gateway that has seen a response ends a quarantine', async t => {
    const harness = new Harness();
    const witness = harness.create('g1');
    const other = harness.create('g2');
    for (let count = 0; count < 3; count += 1) {
      await harness.crash(witness, [createRequest(['shared', 'other']), undefined]);
    }
    t.match(witness.check(SOUND, harness.nowMs), {kind: 'refused', retryAfterMs: 1_000});
    harness.nowMs += 100;
    other.addAnswer(SOUND, ANSWER);
    other.applyFindings(witness.getFindings(true, harness.nowMs), harness.nowMs);
    witness.applyFindings(other.getFindings(false, harness.nowMs), harness.nowMs);
    t.equal(witness.check(SOUND, harness.nowMs).kind, 'run');
  });

  t.test('a part that was in the company of the deadly one each time is soon released', async t => {
    const harness = new Harness();
    const quarantine = harness.create('g1');
    const createDeadly = () => createRequest(['subject', 'deadly']);
    for (let count = 0; count < 3; count += 1) {
      await harness.crash(quarantine, [createDeadly(), undefined]);
    }
    t.equal(quarantine.check(createDeadly(), harness.nowMs).kind, 'refused');
    const sound = createRequest(['subject']);
    t.equal(quarantine.check(sound, harness.nowMs).kind, 'run', 'it shows which part it is');
    t.equal(quarantine.check(createRequest(['subject']), harness.nowMs).kind, 'refused');
    harness.nowMs += 500;
    quarantine.addAnswer(sound, ANSWER);
    t.equal(quarantine.check(createRequest(['subject']), harness.nowMs).kind, 'run');
    t.equal(quarantine.check(createDeadly(), harness.nowMs).kind, 'refused');
  });

  t.test('a crash of such a request releases the other part', async t => {
    const harness = new Harness();
    const quarantine = harness.create('g1');
    for (let count = 0; count < 3; count += 1) {
      await harness.crash(quarantine, [createRequest(['subject', 'deadly']), undefined]);
    }
    const telling = createRequest(['deadly']);
    t.equal(quarantine.check(telling, harness.nowMs).kind, 'run');
    await harness.crash(quarantine, [telling, undefined]);
    t.equal(quarantine.check(createRequest(['deadly']), harness.nowMs).kind, 'refused');
    t.equal(quarantine.check(createRequest(['subject']), harness.nowMs).kind, 'run');
  });

  t.test('after a quarantine one gateway lets one request run, and its result counts', async t => {
    const harness = new Harness();
    const fleet = GATEWAYS.map(id => harness.create(id));
    for (let count = 0; count < 3; count += 1) await harness.crash(fleet[0], [DEADLY, undefined]);
    const share = () => {
      for (const from of fleet) {
        const findings = from.getFindings(true, harness.nowMs);
        for (const to of fleet) to.applyFindings(findings, harness.nowMs);
      }
    };
    share();
    const countRunning = () =>
      fleet.filter(gateway => gateway.check(DEADLY, harness.nowMs).kind === 'run').length;
    t.equal(countRunning(), 0);
    harness.nowMs += AFTER_QUARANTINE_MS;
    t.equal(countRunning(), 1);
    t.equal(countRunning(), 0);
    await harness.crash(fleet[1], [DEADLY, undefined]);
    share();
    harness.nowMs += AFTER_QUARANTINE_MS;
    t.equal(countRunning(), 0, 'the next quarantine is longer');
    harness.nowMs += 4 * AFTER_QUARANTINE_MS;
    t.equal(countRunning(), 1);
    fleet[1].addAnswer(DEADLY, ANSWER);
    share();
    t.equal(countRunning(), GATEWAYS.length);
  });
  t.end();
});
