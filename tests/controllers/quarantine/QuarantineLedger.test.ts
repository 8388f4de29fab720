/** Tests of `QuarantineLedger` at one and at several entries, in virtual time. */
import fc from 'fast-check';
import t from 'tap';
import {DEFAULT_QUARANTINE, QuarantineLedger} from '../../../src/controllers/quarantine/index.js';
import type {Incident} from '../../../src/blackboard/index.js';

const SEED = 20_261_210;
const RUNS = 1_000;
const SETTLED_MS = DEFAULT_QUARANTINE.settleMs;

function createLedger(ownInstanceId: string): QuarantineLedger {
  return new QuarantineLedger({...DEFAULT_QUARANTINE, ownInstanceId});
}

function createAttempt(fingerprint: string, instanceId: string) {
  return {attemptId: `${fingerprint}@${instanceId}`, fingerprint, service: 's', instanceId};
}

function createCrash(instanceId: string, atMs: number, failureDomain = instanceId) {
  return {instanceId, failureDomain, atMs};
}

t.test('QuarantineLedger', t => {
  t.test('isolates a suspect and refuses it after its second crash', t => {
    const ledger = createLedger('entry-1');
    ledger.addAttempt(createAttempt('poison', 'a'));
    ledger.addAttempt(createAttempt('victim', 'a'));
    t.equal(ledger.addCrash(createCrash('a', 0)).length, 2);
    t.match(ledger.decide('poison', 0), {kind: 'wait'});
    t.match(ledger.decide('other', 0), {kind: 'run'});
    t.match(ledger.decide('poison', SETTLED_MS), {kind: 'run-watched'});
    ledger.addAttempt(createAttempt('poison', 'b'));
    const decision = ledger.decide('victim', SETTLED_MS);
    t.same(decision.kind === 'run-watched' && [...decision.suspectInstanceIds], ['b']);
    const [incident] = ledger.addCrash(createCrash('b', 1_000));
    t.equal(incident.kind, 'poison-quarantined');
    t.match(ledger.decide('poison', 1_001), {kind: 'refused'});
    t.match(ledger.decide('victim', 1_001), {kind: 'run-watched'});
    t.end();
  });
  t.test('clears a suspect after a complete response, here and at other entries', t => {
    const ledger = createLedger('entry-1');
    const peer = createLedger('entry-2');
    ledger.addAttempt(createAttempt('victim', 'a'));
    for (const incident of ledger.addCrash(createCrash('a', 0))) peer.addIncident(incident, 0);
    t.match(peer.decide('victim', SETTLED_MS), {kind: 'wait'}, 'only one entry runs it');
    ledger.addAttempt(createAttempt('victim', 'b'));
    for (const incident of ledger.removeAttempt('victim@b', true, 900)) {
      peer.addIncident(incident, 900);
    }
    t.match(ledger.decide('victim', 901), {kind: 'run'});
    t.match(peer.decide('victim', 901), {kind: 'run'});
    t.end();
  });
  t.test('attributes the outage of a failure domain to the domain, not to requests', t => {
    const ledger = createLedger('entry-1');
    for (const id of ['a', 'b', 'c', 'd']) ledger.addAttempt(createAttempt(`request-${id}`, id));
    ledger.addCrash(createCrash('a', 0, 'oslo-a'));
    ledger.addCrash(createCrash('b', 10, 'oslo-a'));
    t.same(ledger.addCrash(createCrash('c', 20, 'oslo-a')), []);
    t.equal(ledger.addCrash(createCrash('d', 30, 'oslo-b')).length, 1);
    t.end();
  });
  t.test('lets a suspicion expire', t => {
    const ledger = createLedger('entry-1');
    ledger.addAttempt(createAttempt('victim', 'a'));
    ledger.addCrash(createCrash('a', 0));
    t.match(ledger.decide('victim', DEFAULT_QUARANTINE.suspicionMs), {kind: 'run'});
    t.end();
  });
  t.test('limits a poison request to two crashes over all entries', t => {
    const sends = fc.array(fc.record({entry: fc.nat(3), afterMs: fc.nat(2_000)}), {
      minLength: 1,
      maxLength: 30,
    });
    fc.assert(
      fc.property(sends, fc.nat(250), (steps, reportMs) => {
        const ledgers = [0, 1, 2, 3].map(index => createLedger(`entry-${index}`));
        const reports: Array<{atMs: number; from: number; incident: Incident}> = [];
        let nowMs = 0;
        let crashes = 0;
        for (const {entry, afterMs} of steps) {
          // A caller repeats its request only after a response, which is sent after the report of the crash.
          nowMs += afterMs + (crashes > 0 ? reportMs : 0);
          for (const {atMs, from, incident} of reports) {
            const hasArrived = atMs <= nowMs;
            ledgers.forEach((ledger, index) => {
              if (hasArrived && index !== from) ledger.addIncident(incident, nowMs);
            });
          }
          const kind = ledgers[entry].decide('poison', nowMs).kind;
          if (kind !== 'run' && kind !== 'run-watched') continue;
          const instanceId = `server-${crashes}`;
          crashes += 1;
          ledgers[entry].addAttempt(createAttempt('poison', instanceId));
          for (const incident of ledgers[entry].addCrash(createCrash(instanceId, nowMs))) {
            reports.push({atMs: nowMs + reportMs, from: entry, incident});
          }
        }
        return crashes <= 2;
      }),
      {seed: SEED, numRuns: RUNS},
    );
    t.end();
  });
  t.end();
});
