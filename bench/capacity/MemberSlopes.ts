/** Cost of membership, address look-up and operator status by the number of entries. */
import {create, toBinary} from '@bufbuild/protobuf';
import {
  applyProbeAck,
  applyMembershipUpdates,
  createMembershipState,
  takeMembershipUpdates,
  tickMembership,
  type MembershipState,
} from '../../src/controllers/membership/index.js';
import {rankAddresses} from '../../src/http/index.js';
import {ProbeRequestSchema} from '../../src/peer/generated/buckthorn/peer/v1/peer_pb.js';
import {toWireMemberUpdate} from '../../src/peer/memberUpdateCodec.js';
import {createBackendServer, createMember, FIXTURE_NOW_MS} from './Fixtures.js';
import {measureCpuMicros, measureHeapBytes} from './Measure.js';
import type {SlopeDefinition} from './SlopeDefinition.js';

const MEMBER_COUNTS = [10, 200, 800, 1_600, 3_200];
const UPDATE_COUNTS = [0, 2, 4, 8];
const RANDOM = () => 0.5;

function createState(memberCount: number): MembershipState {
  const updates = Array.from({length: memberCount}, (_, index) => createMember(index + 1));
  const state = applyMembershipUpdates(
    createMembershipState(createMember(0), 0, FIXTURE_NOW_MS),
    updates,
    FIXTURE_NOW_MS,
  );
  const settled = [...state.others].map(
    ([instanceId, member]) => [instanceId, {...member, remainingTransmissions: 0}] as const,
  );
  return {...state, others: new Map(settled)};
}

/** Sends one probe and applies its response, then answers one probe of another daemon. */
function runProbeRound(before: MembershipState): MembershipState {
  const nowMs = FIXTURE_NOW_MS + 1;
  const {state, effects} = tickMembership(before, nowMs, RANDOM);
  const target = effects.find(effect => effect.kind === 'probe')?.target ?? state.self;
  const sent = takeMembershipUpdates(state, target.instanceId).state;
  const probe = {instanceId: target.instanceId, configurationRevision: 1, updates: []};
  const answered = applyProbeAck(sent, probe, nowMs);
  return takeMembershipUpdates(applyMembershipUpdates(answered, [], nowMs), target.instanceId)
    .state;
}

/** Measured quantities that grow with the number of entries or of membership updates. */
export const MEMBER_SLOPES: readonly SlopeDefinition[] = [
  {
    id: 'member-heap',
    description: 'membership state',
    sizeUnit: 'entries',
    valueUnit: 'bytes',
    sizes: MEMBER_COUNTS,
    measure: count => measureHeapBytes(() => createState(count)),
  },
  {
    id: 'probe-cpu',
    description: 'decisions of one probe sent and one answered, without rumours',
    sizeUnit: 'entries',
    valueUnit: 'us',
    power: 2,
    sizes: MEMBER_COUNTS,
    measure: count => {
      let state = createState(count);
      return measureCpuMicros(() => {
        state = runProbeRound(state);
      });
    },
  },
  {
    id: 'rumour-cpu',
    description: 'one rumour that changes a member',
    sizeUnit: 'entries',
    valueUnit: 'us',
    sizes: MEMBER_COUNTS,
    measure: count => {
      const state = createState(count);
      const member = createMember(1);
      const update = {...member, incarnation: member.incarnation + 1};
      return measureCpuMicros(
        () => void applyMembershipUpdates(state, [update], FIXTURE_NOW_MS + 1),
      );
    },
  },
  {
    id: 'probe-bytes',
    description: 'a probe on the wire as protobuf, headers not counted',
    sizeUnit: 'rumours',
    valueUnit: 'bytes',
    sizes: UPDATE_COUNTS,
    measure: count => {
      const updates = Array.from({length: count}, (_, index) =>
        toWireMemberUpdate(createMember(index)),
      );
      const probe = create(ProbeRequestSchema, {
        fromInstanceId: createMember(0).instanceId,
        sequence: 1_000_000n,
        rumours: updates,
        configurationRevision: 1_000_000n,
        logReadAgeMs: 500n,
      });
      return toBinary(ProbeRequestSchema, probe).length;
    },
  },
  {
    id: 'look-up-cpu',
    description: 'one address look-up ranked and written as JSON',
    sizeUnit: 'entries',
    valueUnit: 'us',
    sizes: MEMBER_COUNTS,
    measure: count => {
      const members = Array.from({length: count}, (_, index) => createMember(index));
      return measureCpuMicros(() => void JSON.stringify(rankAddresses(members, 'workspace-1')));
    },
  },
  {
    id: 'look-up-bytes',
    description: 'answer of one address look-up',
    sizeUnit: 'entries',
    valueUnit: 'bytes',
    sizes: MEMBER_COUNTS,
    measure: count => {
      const members = Array.from({length: count}, (_, index) => createMember(index));
      return JSON.stringify(rankAddresses(members, 'workspace-1')).length;
    },
  },
  {
    id: 'status-bytes',
    description: "an entry's status for operators, three backend servers an entry",
    sizeUnit: 'entries',
    valueUnit: 'bytes',
    sizes: MEMBER_COUNTS,
    measure: count => {
      const members = Array.from({length: count}, (_, index) => {
        const {instanceId, state} = createMember(index);
        return {instanceId, state};
      });
      const backendServers = Array.from({length: count * 3}, (_, index) => {
        const server = createBackendServer(index);
        const {instanceId, service, version, failureDomain, state, warmth} = server;
        return {instanceId, service, version, failureDomain, state, warmth};
      });
      return JSON.stringify({members, backendServers}).length;
    },
  },
];
