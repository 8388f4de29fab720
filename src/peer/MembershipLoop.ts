/** Runs the gossip membership protocol over the peer service and writes the blackboard's `peers` section. */
import type {Blackboard, Member, PeersSection} from '../blackboard/index.js';
import {
  applyIndirectProbeResult,
  applyInstanceList,
  applyProbeAck,
  applyProbeFailure,
  applyMembershipUpdates,
  beginLeaving,
  createMembershipState,
  takeMembershipUpdates,
  tickMembership,
  type IndirectProbeEffect,
  type KnownMember,
  type MemberAddress,
  type MembershipOptions,
  type MembershipState,
  type MembershipStep,
  type ProbeEffect,
} from '../controllers/membership/index.js';
import type {PeerProbeResult} from '../controllers/configuration/index.js';
import {systemSleep} from '../log/index.js';
import type {PeerClient} from './PeerClient.js';
import type {PeerHandlers} from './PeerServer.js';
import {fromWireMemberUpdates, toWireMemberUpdate} from './memberUpdateCodec.js';

/** Options of a `MembershipLoop`. */
export interface MembershipLoopOptions {
  /** Addresses under which this daemon announces itself. */
  readonly self: MemberAddress;
  /** Must be higher than in any earlier process of this instance; the current time if undefined. */
  readonly incarnation?: number;
  readonly client: PeerClient;
  readonly blackboard: Blackboard;
  /** Returns the time in milliseconds of a clock that never goes back. */
  readonly getNowMs: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Called with the result of each probe, also of a failed one. */
  readonly onProbeResult?: (result: PeerProbeResult, member: Member) => void;
  /** Intervals and limits of the protocol; its defaults if undefined. */
  readonly protocol?: MembershipOptions;
}

/** Fraction of an indirect probe's timeout that the helper may spend on probing the target. */
const HELPER_TIMEOUT_FRACTION = 0.5;

/**
 * Probes peers, responds to their probes, and spreads membership updates with both. If a direct probe fails, other
 * peers are asked to probe the target before it is suspected.
 */
export class MembershipLoop {
  private readonly options: MembershipLoopOptions;
  private readonly stopping = new AbortController();
  private state: MembershipState;
  private loop: Promise<void> | undefined;
  private nextSequence = 1;
  private removeListener: (() => void) | undefined;

  constructor(options: MembershipLoopOptions) {
    this.options = options;
    const nowMs = options.getNowMs();
    const {self, incarnation = nowMs, protocol} = options;
    this.state = createMembershipState(self, incarnation, nowMs, protocol);
  }

  /** Returns the handlers of `Probe` and `ProbeFor`. */
  getHandlers(): PeerHandlers {
    return {
      probe: request => {
        const updates = fromWireMemberUpdates(request.rumours);
        this.setState(applyMembershipUpdates(this.state, updates, this.options.getNowMs()));
        return {sequence: request.sequence, ...this.createProbeFields(request.fromInstanceId)};
      },
      probeFor: async request => {
        const target = this.state.others.get(request.targetInstanceId);
        return {reached: target !== undefined && (await this.probe(target, request.timeoutMs))};
      },
    };
  }

  /** Starts probing. Members are taken from the `instances` section and from updates in probes of other daemons. */
  start(): void {
    const {blackboard} = this.options;
    this.applyInstances();
    this.removeListener ??= blackboard.addListener('instances', () => this.applyInstances());
    this.loop ??= this.run();
  }

  /** Stops probing and resolves once the loop has ended; peers are not notified. */
  async stop(): Promise<void> {
    this.removeListener?.();
    this.stopping.abort();
    await this.loop;
  }

  /** Announces that this daemon accepts no new work; the update spreads with the next probes and responses. */
  leave(): void {
    this.setState(beginLeaving(this.state, this.options.getNowMs()));
  }

  private async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      this.applyStep(tickMembership(this.state, this.options.getNowMs(), this.options.random));
      await systemSleep(this.state.options.probeIntervalMs, signal);
    }
  }

  private applyStep({state, effects}: MembershipStep): void {
    this.setState(state);
    for (const effect of effects) {
      void (effect.kind === 'probe' ? this.runProbe(effect) : this.runIndirectProbe(effect));
    }
  }

  private async runProbe({target, timeoutMs}: ProbeEffect): Promise<void> {
    if (await this.probe(target, timeoutMs)) return;
    const {getNowMs, random} = this.options;
    this.applyStep(applyProbeFailure(this.state, target.instanceId, getNowMs(), random));
  }

  private async runIndirectProbe({target, via, timeoutMs}: IndirectProbeEffect): Promise<void> {
    const targetInstanceId = target.instanceId;
    const request = {targetInstanceId, timeoutMs: Math.floor(timeoutMs * HELPER_TIMEOUT_FRACTION)};
    const answers = await Promise.all(
      via.map(helper =>
        this.options.client
          .getCalls(helper)
          .probeFor(request, {timeoutMs})
          .then(({reached}) => reached)
          .catch(() => false),
      ),
    );
    const isReached = answers.includes(true);
    const nowMs = this.options.getNowMs();
    this.setState(applyIndirectProbeResult(this.state, targetInstanceId, isReached, nowMs));
  }

  private async probe(target: KnownMember, timeoutMs: number): Promise<boolean> {
    const {client, getNowMs, onProbeResult, self} = this.options;
    const {instanceId} = target;
    const askedAtMs = getNowMs();
    const request = {
      fromInstanceId: self.instanceId,
      sequence: BigInt(this.nextSequence++),
      ...this.createProbeFields(instanceId),
    };
    try {
      const answer = await client.getCalls(target).probe(request, {timeoutMs});
      const configurationRevision = Number(answer.configurationRevision);
      const updates = fromWireMemberUpdates(answer.rumours);
      const probeResponse = {instanceId, configurationRevision, updates};
      this.setState(applyProbeAck(this.state, probeResponse, getNowMs()));
      const logReadAtMs = askedAtMs - Number(answer.logReadAgeMs);
      const result = {instanceId, askedAtMs, isAnswered: true, configurationRevision, logReadAtMs};
      onProbeResult?.(result, target);
      return true;
    } catch {
      const result = {configurationRevision: 0, logReadAtMs: 0, isAnswered: false} as const;
      if (!this.stopping.signal.aborted)
        onProbeResult?.({instanceId, askedAtMs, ...result}, target);
      return false;
    }
  }

  /** Returns the fields that probe requests and responses have in common. */
  private createProbeFields(receiverId: string) {
    const {state, updates} = takeMembershipUpdates(this.state, receiverId);
    this.state = state;
    const {revision, confirmedAtMs} = this.options.blackboard.getSection('configuration');
    const logReadAgeMs = Math.max(0, Math.round(this.options.getNowMs() - confirmedAtMs));
    return {
      rumours: updates.map(toWireMemberUpdate),
      configurationRevision: BigInt(revision),
      logReadAgeMs: BigInt(logReadAgeMs),
    };
  }

  private applyInstances(): void {
    const {blackboard, getNowMs} = this.options;
    const {instances} = blackboard.getSection('instances');
    this.setState(applyInstanceList(this.state, instances, getNowMs()));
  }

  private setState(state: MembershipState): void {
    this.state = state;
    const {blackboard} = this.options;
    const {revision} = blackboard.getSection('configuration');
    const self = {...state.self, configurationRevision: revision};
    const members = [self, ...state.others.values()].map(toMember);
    const current: PeersSection = blackboard.getSection('peers');
    if (!hasSameMembers(current.members, members)) blackboard.setSection('peers', {members});
  }
}

function toMember(knownMember: KnownMember): Member {
  const {instanceId, state, incarnation, address, peerPort, callersPort} = knownMember;
  const {failureDomain, configurationRevision, changedAtMs} = knownMember;
  const endpoint = {instanceId, address, peerPort, callersPort, failureDomain};
  return {...endpoint, state, incarnation, configurationRevision, changedAtMs};
}

function hasSameMembers(first: readonly Member[], second: readonly Member[]): boolean {
  return (
    first.length === second.length &&
    first.every((member, index) => {
      const other = second[index];
      return (
        member.instanceId === other.instanceId &&
        member.state === other.state &&
        member.incarnation === other.incarnation &&
        member.configurationRevision === other.configurationRevision &&
        member.peerPort === other.peerPort
      );
    })
  );
}
