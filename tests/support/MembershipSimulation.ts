/** Simulates daemons that run the membership protocol over a lossy network in virtual time. */
import {
  applyIndirectProbeResult,
  applyProbeAck,
  applyProbeFailure,
  applyMembershipUpdates,
  createMembershipState,
  takeMembershipUpdates,
  tickMembership,
  type MembershipEffect,
  type MembershipState,
  type MembershipStep,
} from '../../src/controllers/membership/index.js';

interface Daemon {
  state: MembershipState;
  isDead: boolean;
  pausedUntilMs: number;
}

interface Event {
  readonly atMs: number;
  readonly daemonId: string;
  readonly run: (daemon: Daemon) => void;
}

const LATENCY_MS = 2;

/** Runs the daemons' probes as scheduled events; every message takes 2 ms or is lost. */
export class MembershipSimulation {
  readonly daemons = new Map<string, Daemon>();
  messageCount = 0;
  nowMs = 1_000;
  private events: Event[] = [];
  private readonly random: () => number;
  private readonly isLost: (from: string, to: string) => boolean;

  constructor(
    names: readonly string[],
    random: () => number,
    isLost: (from: string, to: string) => boolean = () => false,
  ) {
    this.random = random;
    this.isLost = isLost;
    const addresses = names.map((instanceId, index) => ({
      instanceId,
      address: '127.0.0.1',
      peerPort: index + 1,
      callersPort: index + 1_001,
      failureDomain: 'fd-a',
    }));
    for (const self of addresses) {
      const state = createMembershipState(self, 1, this.nowMs);
      const seeds = addresses.map(
        address => ({...address, state: 'alive', incarnation: 0}) as const,
      );
      const seeded = applyMembershipUpdates(state, seeds, this.nowMs);
      this.daemons.set(self.instanceId, {state: seeded, isDead: false, pausedUntilMs: 0});
      this.scheduleTick(self.instanceId, Math.floor(random() * 300));
    }
  }

  /** Stops a daemon permanently: it runs no further events. */
  kill(name: string): void {
    this.getDaemon(name).isDead = true;
  }

  /** Freezes a daemon: its events run only after the pause. */
  pause(name: string, durationMs: number): void {
    this.getDaemon(name).pausedUntilMs = this.nowMs + durationMs;
  }

  /** Returns the state of a member as each live daemon sees it; `unknown` if it is not in its list. */
  getStatesSeenByOthers(subject: string): readonly string[] {
    return [...this.daemons.entries()]
      .filter(([name, daemon]) => name !== subject && !daemon.isDead)
      .map(([, daemon]) => daemon.state.others.get(subject)?.state ?? 'unknown');
  }

  /** Advances the clock and runs the events that are due, in order of time. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.removeNextEvent(endMs);
      if (!next) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      const daemon = this.getDaemon(next.daemonId);
      if (daemon.isDead) continue;
      if (daemon.pausedUntilMs > this.nowMs) {
        this.events.push({...next, atMs: daemon.pausedUntilMs});
        continue;
      }
      next.run(daemon);
    }
    this.nowMs = endMs;
  }

  private removeNextEvent(endMs: number): Event | undefined {
    let best = -1;
    this.events.forEach((event, index) => {
      if (event.atMs <= endMs && (best < 0 || event.atMs < this.events[best].atMs)) best = index;
    });
    return best < 0 ? undefined : this.events.splice(best, 1)[0];
  }

  private scheduleTick(name: string, delayMs: number): void {
    this.schedule(name, delayMs, daemon => {
      const step = tickMembership(daemon.state, this.nowMs, this.random);
      this.applyStep(name, daemon, step);
      this.scheduleTick(name, daemon.state.options.probeIntervalMs);
    });
  }

  private schedule(daemonId: string, delayMs: number, run: Event['run']): void {
    this.events.push({atMs: this.nowMs + delayMs, daemonId, run});
  }

  private applyStep(name: string, daemon: Daemon, step: MembershipStep): void {
    daemon.state = step.state;
    for (const effect of step.effects) this.runEffect(name, daemon, effect);
  }

  private runEffect(name: string, daemon: Daemon, effect: MembershipEffect): void {
    const targetId = effect.target.instanceId;
    if (effect.kind === 'probe') {
      this.probe(name, targetId, effect.timeoutMs, isReached => {
        if (isReached) return;
        const step = applyProbeFailure(daemon.state, targetId, this.nowMs, this.random);
        this.applyStep(name, daemon, step);
      });
      return;
    }
    let pendingProbes = effect.via.length;
    let isReached = false;
    for (const helper of effect.via) {
      const finish = (isHelperReached: boolean) => {
        isReached ||= isHelperReached;
        pendingProbes -= 1;
        if (pendingProbes === 0) {
          daemon.state = applyIndirectProbeResult(daemon.state, targetId, isReached, this.nowMs);
        }
      };
      this.sendIndirectProbe(name, helper.instanceId, targetId, effect.timeoutMs, finish);
    }
  }

  private sendIndirectProbe(
    from: string,
    helper: string,
    targetId: string,
    timeoutMs: number,
    finish: (isReached: boolean) => void,
  ): void {
    let isDone = false;
    const finishOnce = (isReached: boolean) => {
      if (!isDone) finish(isReached);
      isDone = true;
    };
    this.schedule(from, timeoutMs, () => finishOnce(false));
    this.send(from, helper, () =>
      this.probe(helper, targetId, timeoutMs / 2, isReached =>
        this.send(helper, from, () => finishOnce(isReached)),
      ),
    );
  }

  private probe(
    from: string,
    to: string,
    timeoutMs: number,
    finish: (isReached: boolean) => void,
  ): void {
    const sender = this.getDaemon(from);
    const outgoing = takeMembershipUpdates(sender.state, to);
    sender.state = outgoing.state;
    let isDone = false;
    this.schedule(from, timeoutMs, () => {
      if (!isDone) finish(false);
      isDone = true;
    });
    this.send(from, to, receiver => {
      receiver.state = applyMembershipUpdates(receiver.state, outgoing.updates, this.nowMs);
      const response = takeMembershipUpdates(receiver.state, from);
      receiver.state = response.state;
      this.send(to, from, () => {
        if (isDone) return;
        isDone = true;
        const {updates} = response;
        const probeAnswer = {instanceId: to, configurationRevision: 0, updates};
        sender.state = applyProbeAck(sender.state, probeAnswer, this.nowMs);
        finish(true);
      });
    });
  }

  private send(from: string, to: string, run: Event['run']): void {
    this.messageCount += 1;
    if (!this.isLost(from, to)) this.schedule(to, LATENCY_MS, run);
  }

  private getDaemon(name: string): Daemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new Error(`unknown daemon "${name}"`);
    return daemon;
  }
}
