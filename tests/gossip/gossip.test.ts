/** Encoding of gossip states, and which members count as live or possibly running. */
import t from 'tap';
import type {EvidenceRow} from '../../src/controllers/moves/index.js';
import {
  MemberTable,
  decodeGossip,
  encodeGossip,
  type GatewayMember,
  type GossipState,
} from '../../src/gossip/index.js';
import {createServer} from '../exchange/exchangeFixtures.js';

function member(id: string, fields: Partial<GatewayMember> = {}): GatewayMember {
  return {
    id,
    incarnation: 1,
    gossipAddress: `10.0.0.1:${id.length}`,
    trafficAddress: '10.0.0.1:80',
    failureDomain: 'a',
    isReady: true,
    isLeaving: false,
    isCutOff: false,
    ...fields,
  };
}

const RESULTS: EvidenceRow = {
  window: 1_780_000_000,
  rolloutKey: 0xffff_fffb,
  isTarget: true,
  routeKey: 0xffff_fffa,
  loadBand: 'medium',
  prefillBand: 'long',
  lostServerKey: 0xffff_fff9,
  requests: 12,
  errors: 3,
  firstEvent: {count: 9, sumLogMs: 36.5, sumSquaredLogMs: 150.25},
  interEvent: {count: 0, sumLogMs: 0, sumSquaredLogMs: 0},
};

const STATE: GossipState = {
  sender: member('g1', {incarnation: 1_780_000_000_000}),
  members: [member('g2', {isLeaving: true})],
  level: 0,
  isAnnouncement: false,
  requestsMembers: false,
  hasAllWorkspaces: true,
  summary: {
    gateways: 9,
    composition: 0xfedc_ba98_7654_3211n,
    ageMs: 120,
    admitted: new Map([[0xffff_fffd, 1_500_000]]),
    serverLoads: new Map([[0xffff_fffe, {openRequests: 7, pendingPromptTokens: 40}]]),
    promptRates: new Map([['llm', 1_080_000]]),
    usage: [{window: 355_298_824, workspace: 'w', requests: 170}],
    rolloutResults: [RESULTS],
    members: [
      {key: 1, status: 'ready'},
      {key: 2, status: 'not-ready'},
      {key: 3, status: 'leaving'},
    ],
  },
  rest: undefined,
  admitted: new Map([['w', 123_456]]),
  serverLoads: new Map([[0xffff_ffff, {openRequests: 3, pendingPromptTokens: 900}]]),
  promptRates: new Map([['llm', 12_000]]),
  usage: [{window: 355_298_824, workspace: 'w', requests: 17}],
  rolloutSteps: [
    {
      service: 'app',
      targetVersion: 'v2',
      phase: 'rolled-back',
      sharePercent: 12.5,
      startedAtMs: 1_780_000_000_000,
      changedAtMs: 1_780_000_004_000,
      token: 9,
      number: 31,
    },
  ],
  rolloutResults: [RESULTS],
  dutyClaim: {token: 12, holderId: 'g2'},
  operatorPosition: {era: 2, offset: 4},
  reportedUsageWindow: 355_298_823,
  configurationVersion: 1_412,
  operatorRead: {readerKey: 77, readNumber: 3, ageMs: 250},
  operatorProofAgeMs: 410,
  stampMs: 5_123_456,
  returnedStamps: new Map([[0xffff_fff8, 7_654_321]]),
  registrations: {
    position: {era: 3, offset: 77},
    ageMs: 300,
    digest: 0xfedc_ba98_7654_3210n,
    changed: [
      {...createServer('s8').entry, coldMs: 1_200, recordPosition: {era: 3, offset: 2 ** 40}},
    ],
    draining: [
      {id: 's9', startedAtMs: 1_780_000_000_000, recordPosition: {era: 3, offset: 2 ** 40 + 1}},
    ],
    removed: [{id: 's7', startedAtMs: undefined, recordPosition: undefined}],
  },
  findings: {
    crashes: [
      {
        serverKey: 2n ** 63n + 5n,
        failureDomain: 'a',
        crashedAtMs: 1_780_000_000_100,
        suspects: [7n, 2n ** 64n - 1n],
      },
    ],
    survivals: [{suspect: 7n, survivedAtMs: 1_780_000_000_900}],
  },
  serverLimits: [
    {serverKey: 2n ** 63n + 9n, perSecond: 1.9, namedAtMs: 1_780_000_000_100, endedAtMs: 0},
  ],
  wallMs: 1_780_000_001_000,
};

t.test('gossip codec', t => {
  t.test('a state survives encoding and decoding', t => {
    t.match(decodeGossip(encodeGossip(STATE)), STATE);
    t.end();
  });
  t.test('bytes that are not a gossip message are rejected', t => {
    t.equal(decodeGossip(Buffer.from('hello')), undefined);
    t.equal(decodeGossip(new Uint8Array()), undefined);
    t.end();
  });
  t.end();
});

t.test('MemberTable', t => {
  const create = () => new MemberTable('g1', {unresponsiveAfterMs: 1_000, removedAfterMs: 5_000});
  t.test('an unresponsive gateway is not live, but counts as known until it is removed', t => {
    const table = create();
    table.applySender(member('g2'), 0);
    t.equal(table.getLiveMembers(1_000).length, 1);
    t.equal(table.getLiveMembers(1_001).length, 0);
    t.equal(table.getKnownCount(5_000), 1);
    t.equal(table.getKnownCount(5_001), 0);
    t.end();
  });
  t.test('a gateway that only others report receives state, but is not live', t => {
    const table = create();
    table.applyReported(member('g2'), 0);
    t.equal(table.getLiveMembers(0).length, 0);
    t.equal(table.getMembers(0).length, 1);
    t.end();
  });
  t.test('a datagram of an earlier start does not replace the current one', t => {
    const table = create();
    table.applySender(member('g2', {incarnation: 5}), 0);
    t.notOk(table.applySender(member('g2', {incarnation: 4}), 10));
    t.equal(table.getLiveMembers(10)[0].incarnation, 5);
    t.end();
  });
  t.test(
    'a lower incarnation is accepted once the higher one is unresponsive, since the clock was set back',
    t => {
      const table = create();
      table.applySender(member('g2', {incarnation: 5_000}), 0);
      t.notOk(table.applySender(member('g2', {incarnation: 3_000}), 600));
      t.ok(table.applySender(member('g2', {incarnation: 3_000}), 601));
      t.equal(table.getLiveMembers(601)[0].incarnation, 3_000);
      t.end();
    },
  );
  t.test('a leaving gateway is not counted', t => {
    const table = create();
    table.applySender(member('g2', {isLeaving: true}), 0);
    t.equal(table.getKnownCount(0), 0);
    t.end();
  });
  t.test('a gateway does not count itself', t => {
    const table = create();
    t.notOk(table.applySender(member('g1'), 0));
    table.applyReported(member('g1'), 0);
    t.equal(table.getKnownCount(0), 0);
    t.end();
  });
  t.end();
});
