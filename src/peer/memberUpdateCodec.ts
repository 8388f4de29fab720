/** Converts membership updates between the membership protocol's type and the peer service's messages. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {MemberState as MemberStateName} from '../blackboard/index.js';
import type {MembershipUpdate} from '../controllers/membership/index.js';
import {
  MemberState,
  type MemberRumour,
  type MemberRumourSchema,
} from './generated/buckthorn/peer/v1/peer_pb.js';

const STATES_TO_WIRE = {
  alive: MemberState.ALIVE,
  suspect: MemberState.SUSPECT,
  dead: MemberState.DEAD,
  leaving: MemberState.LEAVING,
} as const satisfies Readonly<Record<MemberStateName, MemberState>>;

const STATES_FROM_WIRE: ReadonlyMap<MemberState, MemberStateName> = new Map(
  Object.entries(STATES_TO_WIRE).map(([name, state]) => [state, name as MemberStateName]),
);

/** Converts a membership update to a message. */
export function toWireMemberUpdate(
  update: MembershipUpdate,
): MessageInitShape<typeof MemberRumourSchema> {
  const {state, incarnation, ...address} = update;
  return {...address, state: STATES_TO_WIRE[state], incarnation: BigInt(incarnation)};
}

/** Converts the membership updates of a message; those with states unknown to this version are dropped. */
export function fromWireMemberUpdates(
  updates: readonly MemberRumour[],
): readonly MembershipUpdate[] {
  return updates.flatMap(update => {
    const state = STATES_FROM_WIRE.get(update.state);
    if (!state) return [];
    const {instanceId, address, peerPort, callersPort, failureDomain} = update;
    const incarnation = Number(update.incarnation);
    return [{instanceId, state, incarnation, address, peerPort, callersPort, failureDomain}];
  });
}
