/**
 * Combines the states of gateways along the gossip groups. A gateway knows the states of its own group's gateways one
 * by one, those of other groups as combined summaries.
 */
import {planGossipGroups, type GossipGroup} from '../controllers/gossip/index.js';
import type {UsageLedger} from '../controllers/duties/index.js';
import type {FleetEvidence} from '../controllers/moves/index.js';
import type {PromptRates} from '../controllers/fleetSize/index.js';
import type {ServerLoads} from '../controllers/placement/index.js';
import type {QuotaLedger} from '../controllers/quotas/index.js';
import {
  getComposition,
  getMemberKey,
  getMemberStatus,
  mergeSummaries,
  type AgedSummary,
  type GatewayMember,
  type GossipState,
  type MemberTable,
  type StateSummary,
} from '../gossip/index.js';
import {getTextKey} from '../utils/index.js';

/** Constructor options of `GroupExchange`. */
export interface GroupExchangeOptions {
  readonly members: MemberTable;
  readonly loads: ServerLoads;
  readonly promptRates: PromptRates;
  readonly quotaLedger: QuotaLedger;
  readonly usageLedger: UsageLedger;
  readonly evidence: FleetEvidence;
  /** Returns the Unix time in milliseconds, the same at all gateways. */
  readonly getWallMs: () => number;
  /** Returns this gateway's own member record. */
  readonly describeSelf: () => GatewayMember;
}

/** Whether a state was sent by a gateway of a group that this gateway is in too. */
export type SenderRelation = 'fellow' | 'stranger';

/** The latest report of a fellow or of the head. */
interface Report {
  readonly sourceId: string;
  readonly level: number;
  readonly summary: StateSummary;
  /** Whether `summary` contains the admissions of all workspaces. */
  readonly isComplete: boolean;
  readonly receivedAtMs: number;
}

/** Age above which a report is left out of the summaries for other gateways. */
const REPORT_EXPIRY_MS = 2_000;
/** Age above which the live gateways in a report are left out of them. */
const STATUS_EXPIRY_MS = 1_000;
/** Time for which the groups are used before the present members are compared again. */
const PLAN_INTERVAL_MS = 50;
/** Usage windows in a summary: the current one and the previous one. */
const SUMMARY_WINDOWS = 2;
/** Source of the state of all gateways outside of this gateway's groups, as the head reports it. */
const REST_SOURCE = 'rest';

/** One gateway's part in the exchange of states between groups. */
export class GroupExchange {
  private readonly options: GroupExchangeOptions;
  private readonly reports = new Map<string, Report>();
  private rest: Report | undefined;
  private hasUnknown = false;
  private groups: readonly GossipGroup<GatewayMember>[] = [];
  /** Version of the members for which the groups were planned, and whether this gateway was leaving then. */
  private plannedVersion = -1;
  private plannedAsLeaving = false;
  private comparedAtMs = -Infinity;

  constructor(options: GroupExchangeOptions) {
    this.options = options;
    options.usageLedger.setGatewayFilter(id => this.countsUsageOf(id));
    options.evidence.setGatewayFilter(id => this.countsUsageOf(id));
  }

  /**
   * Returns the groups of this gateway, from level 0 up, by the members that are present now.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getGroups(nowMs: number): readonly GossipGroup<GatewayMember>[] {
    if (nowMs - this.comparedAtMs < PLAN_INTERVAL_MS) return this.groups;
    this.comparedAtMs = nowMs;
    const {members, describeSelf} = this.options;
    const own = describeSelf();
    const version = members.getVersion(nowMs);
    if (version === this.plannedVersion && own.isLeaving === this.plannedAsLeaving) {
      return this.groups;
    }
    this.plannedVersion = version;
    this.plannedAsLeaving = own.isLeaving;
    this.groups = planGossipGroups(own, members.getPresentMembers(nowMs));
    const fellowIds = this.groups.flatMap(({fellows}) => fellows.map(({id}) => id));
    members.setExpected(new Set(fellowIds), nowMs);
    this.dropFormerSources();
    return this.groups;
  }

  /**
   * Applies the load, admissions and usage of a state, if its sender is in one of this gateway's groups.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  apply(state: GossipState, nowMs: number): SenderRelation {
    const {sender, level, rest} = state;
    const group = this.getGroups(nowMs).find(({fellows}) =>
      fellows.some(({id}) => id === sender.id),
    );
    if (!group) return 'stranger';
    if (state.isAnnouncement) return 'fellow';
    if (level !== group.level) return 'stranger';
    this.applyReport(state, nowMs);
    const isFromHead = group === this.groups.at(-1) && group.headId === sender.id;
    if (rest && isFromHead) {
      const previous = this.rest;
      const isComplete = true;
      this.rest = {sourceId: REST_SOURCE, level, summary: rest, isComplete, receivedAtMs: nowMs};
      this.applySummary(this.rest, previous, nowMs);
    }
    return 'fellow';
  }

  /** Whether the latest summary told of live gateways that this one doesn't know. */
  get hasUnknownMembers(): boolean {
    return this.hasUnknown;
  }

  /**
   * Returns the state of all gateways that this gateway represents at a level: itself at level 0, its group of level n
   * at level n + 1.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getSummary(level: number, nowMs: number): StateSummary {
    const lower = this.getReports(report => report.level < level);
    const merged = mergeSummaries([this.getOwnSummary(nowMs), ...toAged(lower, nowMs)]);
    const sources = lower.filter(report => report.level > 0).map(({sourceId}) => sourceId);
    // Includes what gateways of the group counted that have stopped since.
    const {usageLedger, evidence, getWallMs} = this.options;
    const usage = usageLedger.getGroupUsage(SUMMARY_WINDOWS, sources);
    return {...merged, usage, rolloutResults: evidence.getGroup(sources, getWallMs())};
  }

  /**
   * Returns the state of all gateways outside this gateway's group of a level; undefined if there are none.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getRest(level: number, nowMs: number): StateSummary | undefined {
    const higher = this.getReports(report => report.level > level);
    const outer = this.rest ? [...higher, this.rest] : higher;
    if (outer.length === 0) return undefined;
    const sources = outer.map(({sourceId}) => sourceId);
    const {usageLedger, evidence, getWallMs} = this.options;
    const usage = usageLedger.getCombinedUsage(SUMMARY_WINDOWS, sources);
    const rolloutResults = evidence.getCombined(sources, getWallMs());
    return {...mergeSummaries(toAged(outer, nowMs)), usage, rolloutResults};
  }

  /**
   * Returns the state of all gateways, without usage.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  getTotal(nowMs: number): StateSummary {
    const reports = this.rest ? [...this.reports.values(), this.rest] : [...this.reports.values()];
    return mergeSummaries([this.getOwnSummary(nowMs), ...toAged(reports, nowMs)]);
  }

  private getReports(isIncluded: (report: Report) => boolean): readonly Report[] {
    return [...this.reports.values()].filter(isIncluded);
  }

  private applyReport(state: GossipState, nowMs: number): void {
    const {sender, level, usage, hasAllWorkspaces} = state;
    const previous = this.reports.get(sender.id);
    const summary = state.summary ?? this.getSenderSummary(state, previous);
    const isComplete =
      state.summary !== undefined || hasAllWorkspaces || isCompleteFor(previous, summary);
    const report = {sourceId: sender.id, level, summary, isComplete, receivedAtMs: nowMs};
    this.reports.set(sender.id, report);
    if (state.summary) return this.applySummary(report, previous, nowMs);
    this.applyLoads(report, previous, nowMs);
    this.options.usageLedger.mergePeerUsage(sender.id, sender.incarnation, usage);
    this.options.evidence.mergePeer(sender.id, sender.incarnation, state.rolloutResults);
  }

  private applySummary(report: Report, previous: Report | undefined, nowMs: number): void {
    const {members, usageLedger} = this.options;
    const {sourceId, summary} = report;
    this.applyLoads(report, previous, nowMs);
    if (summary.usage.length > 0) usageLedger.applyCombinedUsage(sourceId, summary.usage);
    this.options.evidence.applyCombined(sourceId, summary.rolloutResults);
    const ownKey = getMemberKey(this.options.describeSelf());
    const unknown = summary.members.filter(status => !members.applyStatus(status, nowMs));
    this.hasUnknown = unknown.some(({key, status}) => key !== ownKey && status !== 'leaving');
  }

  private applyLoads(
    {sourceId, summary}: Report,
    previous: Report | undefined,
    nowMs: number,
  ): void {
    const {loads, quotaLedger} = this.options;
    const {composition, gateways, ageMs} = summary;
    // A workspace that was missing in a complete report had no admissions.
    const baseline = isCompleteFor(previous, summary) ? 0 : undefined;
    loads.applyPeerReport(sourceId, summary.serverLoads, nowMs);
    // A workspace that a state leaves out has had no admissions since the previous one, which is news too.
    for (const [workspaceKey, admitted] of summary.admitted) {
      const report = {workspaceKey, admitted, baseline, composition, gateways, ageMs};
      quotaLedger.applyPeerReport(sourceId, report, nowMs);
    }
  }

  /** Returns the state of a single gateway; admissions that it left out keep their last values. */
  private getSenderSummary(state: GossipState, previous: Report | undefined): StateSummary {
    const {sender, admitted, serverLoads, promptRates} = state;
    const composition = getComposition(sender);
    const known =
      previous?.summary.composition === composition ? previous.summary.admitted : undefined;
    return {
      gateways: 1,
      composition,
      ageMs: 0,
      admitted: new Map([...(known ?? []), ...toKeys(admitted)]),
      serverLoads,
      promptRates,
      usage: [],
      rolloutResults: [],
      members: [getMemberStatus(sender)],
    };
  }

  private getOwnSummary(nowMs: number): AgedSummary {
    const {describeSelf, loads, promptRates, quotaLedger} = this.options;
    const own = describeSelf();
    return asAged({
      gateways: 1,
      composition: getComposition(own),
      ageMs: 0,
      admitted: toKeys(quotaLedger.getAdmittedTotals()),
      serverLoads: loads.getOwnLoadsByKey(),
      promptRates: promptRates.getRates(nowMs),
      usage: [],
      rolloutResults: [],
      members: [getMemberStatus(own)],
    });
  }

  /** Counts of a gateway that has moved to another group are part of that group's summary. */
  private countsUsageOf(gatewayId: string): boolean {
    const isOfOwnGroup = this.groups[0]?.fellows.some(({id}) => id === gatewayId);
    return isOfOwnGroup === true || !this.options.members.isKnown(gatewayId);
  }

  /** Drops the reports of gateways that are no longer in a group with this one. */
  private dropFormerSources(): void {
    const levels = new Map(
      this.groups.flatMap(({level, fellows}) => fellows.map(({id}) => [id, level] as const)),
    );
    for (const [id, {level}] of this.reports) {
      if (levels.get(id) !== level) this.removeSource(id);
    }
    const {headId} = this.groups[this.groups.length - 1];
    if (headId === this.options.describeSelf().id) {
      this.rest = undefined;
      this.removeSource(REST_SOURCE);
    }
  }

  private removeSource(sourceId: string): void {
    this.reports.delete(sourceId);
    this.options.loads.removePeerReport(sourceId);
    this.options.usageLedger.removeCombinedUsage(sourceId);
    this.options.evidence.removeCombined(sourceId);
  }
}

/** Returns whether an earlier report was complete and of the same gateways as a summary. */
function isCompleteFor(previous: Report | undefined, {composition}: StateSummary): boolean {
  return previous?.isComplete === true && previous.summary.composition === composition;
}

function toKeys(byName: ReadonlyMap<string, number>): ReadonlyMap<number, number> {
  return new Map([...byName].map(([name, amount]) => [getTextKey(name), amount]));
}

function asAged(summary: StateSummary): AgedSummary {
  return {summary, sinceReceivedMs: 0};
}

/** Returns the summaries of complete and recent reports. */
function toAged(reports: readonly Report[], nowMs: number): readonly AgedSummary[] {
  return reports
    .filter(({isComplete, receivedAtMs}) => isComplete && nowMs - receivedAtMs <= REPORT_EXPIRY_MS)
    .map(({summary, receivedAtMs}) => {
      const sinceReceivedMs = nowMs - receivedAtMs;
      const members = sinceReceivedMs <= STATUS_EXPIRY_MS ? summary.members : [];
      return {summary: {...summary, members}, sinceReceivedMs};
    });
}
