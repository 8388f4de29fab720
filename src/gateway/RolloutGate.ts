/** Decides which versions of a service a request may go to, by the roll-out orders and the steps of the duty holder. */
import type {Catalog, KnownServer} from '../catalog/index.js';
import {isFinalStep, replacesStep, type RolloutStep} from '../controllers/moves/index.js';
import type {EventLogger} from '../logging/index.js';

/** Constructor options of `RolloutGate`. */
export interface RolloutGateOptions {
  readonly catalog: Catalog;
  readonly events: EventLogger;
  /** Called when the phase or the share of a roll-out has changed. */
  readonly onStep?: (step: RolloutStep) => void;
}

/** A request whose version is chosen. */
export interface VersionRequest {
  readonly service: string;
  /** Whether an earlier attempt of the request was sent. */
  readonly isRetry: boolean;
}

/** Returns whether a server's version is one of a group. */
export type VersionFilter = (server: KnownServer) => boolean;

/** A step, and when this gateway learned of it. Monotonic times in milliseconds. */
interface KnownStep {
  readonly step: RolloutStep;
  /** When the latest renewal was received. */
  readonly renewedAtMs: number;
  /** When phase or share became known. */
  readonly learnedAtMs: number;
}

/** Time without a renewal of the duty holder after which the target version gets nothing more. */
const PERMIT_MS = 2_500;
/** Time for which an ended roll-out is part of each datagram. */
const NEWS_MS = 4_000;
/** Ended roll-outs that are remembered. */
const MAX_STEPS = 100;
const WHOLE_PERCENT = 100;

/**
 * Keeps the newest step of each roll-out. A gateway that hasn't heard from the duty holder lately sends the target
 * version nothing, so that the share holds over all gateways whichever of them are cut off.
 */
export class RolloutGate {
  private readonly options: RolloutGateOptions;
  private readonly steps = new Map<string, KnownStep>();
  private onNews: () => void = () => undefined;

  constructor(options: RolloutGateOptions) {
    this.options = options;
  }

  /** Sets the listener for steps of this gateway itself that change a phase or a share. */
  setNewsListener(listener: () => void): void {
    this.onNews = listener;
  }

  /** Returns the newest step of a roll-out; undefined if none is known. */
  getStep(service: string, targetVersion: string): RolloutStep | undefined {
    return this.steps.get(getStepKey({service, targetVersion}))?.step;
  }

  /** Returns whether a roll-out of a service is ordered and hasn't ended. */
  isRunning(service: string): boolean {
    const order = this.options.catalog.rollouts.get(service);
    if (!order) return false;
    const step = this.getStep(service, order.targetVersion);
    return step === undefined || !isFinalStep(step);
  }

  /**
   * Returns whether the servers of a service belong to more than one version because of a roll-out, running or ended.
   */
  isMoving(service: string): boolean {
    const order = this.options.catalog.rollouts.get(service);
    if (!order) return false;
    if (this.isRunning(service)) return true;
    const servers = this.options.catalog.servers
      .getServers()
      .filter(({entry}) => entry.service === service);
    return new Set(servers.map(({entry}) => entry.softwareVersion)).size > 1;
  }

  /**
   * Records a step that this gateway has decided as the duty holder.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  setStep(step: RolloutStep, nowMs: number): void {
    if (this.apply(step, nowMs)) this.onNews();
  }

  /**
   * Records steps that another gateway tells; returns whether a phase or a share is new.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  applySteps(steps: readonly RolloutStep[], nowMs: number): boolean {
    return steps.map(step => this.apply(step, nowMs)).some(isNews => isNews);
  }

  /**
   * Returns the steps for the other gateways.
   * @param includesEnded - Whether it contains all ended roll-outs, also those that others have long known.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getStepsToSend(includesEnded: boolean, nowMs: number): readonly RolloutStep[] {
    return [...this.steps.values()]
      .filter(({step, learnedAtMs, renewedAtMs}) =>
        isFinalStep(step)
          ? includesEnded || nowMs - learnedAtMs <= NEWS_MS
          : nowMs - renewedAtMs <= PERMIT_MS,
      )
      .map(({step}) => step);
  }

  /**
   * Returns the groups of servers that a request may go to, by their versions: the first one that has a server for it
   * counts.
   * @param random - A random number from 0 to less than 1.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getVersions(
    {service, isRetry}: VersionRequest,
    random: number,
    nowMs: number,
  ): readonly VersionFilter[] {
    const rolledBack = this.getRolledBackVersions(service);
    const isAllowed: VersionFilter = ({entry}) => !rolledBack.has(entry.softwareVersion);
    const order = this.options.catalog.rollouts.get(service);
    if (!order || rolledBack.has(order.targetVersion)) return [isAllowed];
    const isTarget: VersionFilter = ({entry}) => entry.softwareVersion === order.targetVersion;
    const isOther: VersionFilter = server => !isTarget(server) && isAllowed(server);
    const known = this.steps.get(getStepKey(order));
    if (known?.step.phase === 'done') return [isTarget, isOther];
    if (known === undefined && !this.hasOtherVersion(service, order.targetVersion)) {
      return [isAllowed];
    }
    const sharePercent = this.getSharePercent(known, nowMs);
    if (sharePercent >= WHOLE_PERCENT) return [isTarget, isOther];
    const isChosen = !isRetry && random * WHOLE_PERCENT < sharePercent;
    return isChosen ? [isTarget, isOther] : [isOther];
  }

  private getSharePercent(known: KnownStep | undefined, nowMs: number): number {
    if (known === undefined || nowMs - known.renewedAtMs > PERMIT_MS) return 0;
    return known.step.sharePercent;
  }

  private getRolledBackVersions(service: string): ReadonlySet<string> {
    const versions = [...this.steps.values()]
      .filter(({step}) => step.service === service && step.phase === 'rolled-back')
      .map(({step}) => step.targetVersion);
    return new Set(versions);
  }

  /** Returns whether a service has servers of another version; an order for the only version changes nothing. */
  private hasOtherVersion(service: string, targetVersion: string): boolean {
    return this.options.catalog.servers
      .getServers()
      .some(({entry}) => entry.service === service && entry.softwareVersion !== targetVersion);
  }

  /** Returns whether the step changes a phase or a share. */
  private apply(step: RolloutStep, nowMs: number): boolean {
    const key = getStepKey(step);
    const known = this.steps.get(key);
    if (known && !replacesStep(step, known.step)) return false;
    const isNews =
      known?.step.phase !== step.phase || known.step.sharePercent !== step.sharePercent;
    const learnedAtMs = isNews ? nowMs : known.learnedAtMs;
    this.steps.delete(key);
    this.steps.set(key, {step, renewedAtMs: nowMs, learnedAtMs});
    this.dropOldest();
    if (!isNews) return false;
    this.logStep(step);
    this.options.onStep?.(step);
    return true;
  }

  private dropOldest(): void {
    const [oldest] = this.steps.keys();
    if (this.steps.size > MAX_STEPS) this.steps.delete(oldest);
  }

  private logStep({service, targetVersion, phase, sharePercent, token}: RolloutStep): void {
    this.options.events.log('roll-out step', {service, targetVersion, phase, sharePercent, token});
  }
}

function getStepKey({
  service,
  targetVersion,
}: Pick<RolloutStep, 'service' | 'targetVersion'>): string {
  return `${service}\n${targetVersion}`;
}
