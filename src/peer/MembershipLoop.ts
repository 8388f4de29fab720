/** Runs the membership protocol over the peer service and writes the `peers` section. */
import type {Blackboard, Member, PeersSection} from '../blackboard/index.js';
import {
  applyIndirectProbe,
  applyInstanceList,
  applyProbeAnswer,
  applyProbeFailure,
  applyRumours,
  beginLeaving,
  createMembershipState,
  takeRumours,
  tickMembership,
  type IndirectProbeEffect,
  type KnownMember,
  type MemberAddress,
  type MembershipOptions,
  type MembershipState,
  type MembershipStep,
  type ProbeEffect,
} from '../controllers/membership/index.js';
import type {PeerReading} from '../controllers/configuration/index.js';
import {systemSleep} from '../log/index.js';
import type {PeerClient} from './PeerClient.js';
import type {PeerHandlers} from './PeerServer.js';
import {fromWireRumours, toWireRumour} from './rumours.js';

/** Options of a `MembershipLoop`. */
export interface MembershipLoopOptions {
  readonly self: MemberAddress;
  /** Higher than that of any earlier process of the instance; the present time where absent. */
  readonly incarnation?: number;
  readonly client: PeerClient;
  readonly blackboard: Blackboard;
  readonly getNowMs: () => number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Called with what a probe showed of a peer. */
  readonly onReading?: (reading: PeerReading, member: Member) => void;
  readonly protocol?: MembershipOptions;
}

/** Part of an indirect probe's time that the helper may spend on its own probe. */
const HELPER_TIME_SHARE = 0.5;

/** Probes peers, answers their probes, and keeps the `peers` section. */
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

  /** Returns the handlers of the calls that belong to the protocol. */
  getHandlers(): PeerHandlers {
    return {
      probe: request => {
        const rumours = fromWireRumours(request.rumours);
        this.setState(applyRumours(this.state, rumours, this.options.getNowMs()));
        return {sequence: request.sequence, ...this.createMessage(request.fromInstanceId)};
      },
      probeFor: async request => {
        const target = this.state.others.get(request.targetInstanceId);
        return {reached: target !== undefined && (await this.probe(target, request.timeoutMs))};
      },
    };
  }

  /** Starts to probe; members come from the `instances` section and from those who probe this daemon. */
  start(): void {
    const {blackboard} = this.options;
    this.takeInstances();
    this.removeListener ??= blackboard.addListener('instances', () => this.takeInstances());
    this.loop ??= this.run();
  }

  /** Stops probing. */
  async stop(): Promise<void> {
    this.removeListener?.();
    this.stopping.abort();
    await this.loop;
  }

  /** Tells peers that this daemon takes no new work; spreads with the next probes and answers. */
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
    const request = {targetInstanceId, timeoutMs: Math.floor(timeoutMs * HELPER_TIME_SHARE)};
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
    this.setState(applyIndirectProbe(this.state, targetInstanceId, isReached, nowMs));
  }

  private async probe(target: KnownMember, timeoutMs: number): Promise<boolean> {
    const {client, getNowMs, onReading, self} = this.options;
    const {instanceId} = target;
    const askedAtMs = getNowMs();
    const request = {
      fromInstanceId: self.instanceId,
      sequence: BigInt(this.nextSequence++),
      ...this.createMessage(instanceId),
    };
    try {
      const answer = await client.getCalls(target).probe(request, {timeoutMs});
      const configurationRevision = Number(answer.configurationRevision);
      const rumours = fromWireRumours(answer.rumours);
      const probeAnswer = {instanceId, configurationRevision, rumours};
      this.setState(applyProbeAnswer(this.state, probeAnswer, getNowMs()));
      const logReadAtMs = askedAtMs - Number(answer.logReadAgeMs);
      const reading = {instanceId, askedAtMs, isAnswered: true, configurationRevision, logReadAtMs};
      onReading?.(reading, target);
      return true;
    } catch {
      const reading = {configurationRevision: 0, logReadAtMs: 0, isAnswered: false} as const;
      if (!this.stopping.signal.aborted) onReading?.({instanceId, askedAtMs, ...reading}, target);
      return false;
    }
  }

  /** Returns what probes and answers carry alike. */
  private createMessage(receiverId: string) {
    const {state, rumours} = takeRumours(this.state, receiverId);
    this.state = state;
    const {revision, confirmedAtMs} = this.options.blackboard.getSection('configuration');
    const logReadAgeMs = Math.max(0, Math.round(this.options.getNowMs() - confirmedAtMs));
    return {
      rumours: rumours.map(toWireRumour),
      configurationRevision: BigInt(revision),
      logReadAgeMs: BigInt(logReadAgeMs),
    };
  }

  private takeInstances(): void {
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
    if (!isSame(current.members, members)) blackboard.setSection('peers', {members});
  }
}

function toMember(known: KnownMember): Member {
  const {instanceId, state, incarnation, address, peerPort, callersPort} = known;
  const {failureDomain, configurationRevision, changedAtMs} = known;
  const place = {instanceId, address, peerPort, callersPort, failureDomain};
  return {...place, state, incarnation, configurationRevision, changedAtMs};
}

function isSame(some: readonly Member[], others: readonly Member[]): boolean {
  return (
    some.length === others.length &&
    some.every((one, index) => {
      const other = others[index];
      return (
        one.instanceId === other.instanceId &&
        one.state === other.state &&
        one.incarnation === other.incarnation &&
        one.configurationRevision === other.configurationRevision &&
        one.peerPort === other.peerPort
      );
    })
  );
}
