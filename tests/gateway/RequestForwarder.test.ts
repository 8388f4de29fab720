/** Which gateways get the requests of one that is cut off from the servers. */
import t from 'tap';
import type {BackendResponseHandler, PeerCall} from '../../src/exchange/index.js';
import {RequestForwarder} from '../../src/gateway/RequestForwarder.js';
import {MemberTable, type GatewayMember} from '../../src/gossip/index.js';
import {silentEvents} from '../../src/logging/index.js';
import {REQUEST, SUCCESS} from '../exchange/exchangeFixtures.js';
import {createMember, createSettings} from './gatewayFixtures.js';

const REGIONS = new Map([
  ['own', 'north'],
  ['near', 'north'],
  ['far', 'south'],
]);
const ignore = () => undefined;

/** A gateway that is cut off, and its peers. */
class Harness {
  readonly calls: PeerCall[] = [];
  readonly handlers: BackendResponseHandler[] = [];
  readonly forwarder: RequestForwarder;
  cancelled = 0;

  constructor(peers: readonly GatewayMember[]) {
    const members = new MemberTable('g1', {unresponsiveAfterMs: 900, removedAfterMs: 8_000});
    for (const peer of peers) members.applySender(peer, 0);
    this.forwarder = new RequestForwarder({
      settings: createSettings({failureDomain: 'own', regionByDomain: REGIONS}),
      transport: {
        send: (call, handler) => {
          this.calls.push(call);
          this.handlers.push(handler);
          return {
            cancel: () => (this.cancelled += 1),
            pause: ignore,
            resume: ignore,
            reportStall: () => false,
          };
        },
      },
      members,
      metrics: {addForwarded: ignore},
      events: silentEvents,
      getNowMs: () => 0,
      random: () => 0,
    });
  }

  forward(homeRegions: readonly (readonly string[])[] = []) {
    return this.forwarder.forward({
      request: REQUEST,
      homeRegions,
      deadlineAtMs: 60_000,
      sink: {
        start: ignore,
        write: ignore,
        isFull: false,
        onceDrained: ignore,
        end: ignore,
        abortResponse: ignore,
        refuse: ignore,
      },
    });
  }

  get peerIds(): readonly string[] {
    return this.calls.map(({peer}) => peer.id);
  }
}

function peer(id: string, failureDomain: string, fields: Partial<GatewayMember> = {}) {
  return createMember(id, {failureDomain, ...fields});
}

t.test('RequestForwarder', t => {
  t.test('uses only gateways that serve callers and reach the servers', t => {
    const harness = new Harness([
      peer('g2', 'near', {isCutOff: true}),
      peer('g3', 'near', {isLeaving: true}),
      peer('g4', 'near', {isReady: false}),
    ]);
    t.notOk(harness.forwarder.canForward({homeRegions: []}));
    t.end();
  });

  t.test('prefers its region, and spreads the requests evenly', t => {
    const harness = new Harness([peer('g2', 'near'), peer('g3', 'near'), peer('g4', 'far')]);
    for (let request = 0; request < 3; request += 1) harness.forward();
    t.same([...harness.peerIds].sort(), ['g2', 'g2', 'g3']);
    const [first] = harness.peerIds;
    harness.handlers[0].onHead(SUCCESS);
    harness.handlers[0].onEnd();
    harness.handlers[2].onHead(SUCCESS);
    harness.handlers[2].onEnd();
    harness.forward();
    t.equal(harness.peerIds[3], first, 'which has none left');
    t.equal(harness.forwarder.size, 2);
    harness.forwarder.endAll();
    t.equal(harness.cancelled, 2);
    t.equal(harness.forwarder.size, 0);
    t.end();
  });

  t.test('sends no request to a region that is not a home of it', t => {
    const harness = new Harness([peer('g2', 'near'), peer('g3', 'far')]);
    t.notOk(harness.forwarder.canForward({homeRegions: [['east'], []]}));
    t.notOk(harness.forwarder.canForward({homeRegions: [['north', 'south'], ['east']]}));
    harness.forward([['south']]);
    t.same(harness.peerIds, ['g3']);
    harness.forwarder.endAll();
    t.end();
  });

  t.test('bounds the forwarded requests, so that a cut does not exhaust this gateway', t => {
    const harness = new Harness([peer('g2', 'near')]);
    while (harness.forwarder.canForward({homeRegions: []})) harness.forward();
    t.equal(harness.forwarder.size, 200);
    harness.forwarder.endAll();
    t.end();
  });
  t.end();
});
