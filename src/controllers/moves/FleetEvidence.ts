/** Results of attempts during roll-outs, which all gateways add up by version, route, load and time. */
import type {DurationMoments, LoadBand, PrefillBand} from '../../blackboard/index.js';
import {FleetWindows, getTextKey, type WindowRow} from '../../utils/index.js';
import {addDuration, addMoments, NO_DURATIONS} from './DurationMoments.js';

/** What the results of a row have in common. */
export interface EvidenceSubject {
  /** Key of the service and the target version of the roll-out. */
  readonly rolloutKey: number;
  /** Whether the attempts ran on the target version. */
  readonly isTarget: boolean;
  /** Key of the route's name. */
  readonly routeKey: number;
  readonly loadBand: LoadBand;
  readonly prefillBand: PrefillBand;
  /**
   * Key of the server's start if the connections of these attempts were lost, so that the losses by one crash count
   * once; 0 for all other results.
   */
  readonly lostServerKey: number;
}

/** Results of one subject in one window. */
export interface EvidenceResults extends EvidenceSubject {
  readonly requests: number;
  readonly errors: number;
  /** Time to the first event, or to the head of a response that isn't streamed. */
  readonly firstEvent: DurationMoments;
  /** Mean time between the events of a stream. */
  readonly interEvent: DurationMoments;
}

/** Results of one subject in one window, with the number of the window. */
export interface EvidenceRow extends EvidenceResults {
  readonly window: number;
}

/** A finished attempt. */
export interface RolloutSample extends EvidenceSubject {
  readonly hasFailed: boolean;
  /** Undefined if there was none, or if it isn't comparable. */
  readonly firstEventMs: number | undefined;
  readonly interEventMs: number | undefined;
}

/** Length of a window. */
const WINDOW_MS = 1_000;
/** Windows that are kept. */
const KEPT_WINDOWS = 120;
/** Windows that are reported to other gateways: the open one, and those whose last results are still on their way. */
const REPORTED_WINDOWS = 4;

/** Returns the key of a roll-out. */
export function getRolloutKey(service: string, targetVersion: string): number {
  return getTextKey(`${service}\n${targetVersion}`);
}

/** Merges this gateway's results with those that the other gateways report. */
export class FleetEvidence {
  private readonly windows = new FleetWindows<EvidenceResults>({
    keptWindows: KEPT_WINDOWS,
    add: addResults,
    getLater: (one, other) => (other.requests >= one.requests ? other : one),
  });

  /**
   * Adds a finished attempt of this gateway.
   * @param wallMs - Unix time of its end in milliseconds.
   */
  addSample({hasFailed, firstEventMs, interEventMs, ...subject}: RolloutSample, wallMs: number) {
    const value: EvidenceResults = {
      ...subject,
      requests: 1,
      errors: hasFailed ? 1 : 0,
      firstEvent: addDuration(NO_DURATIONS, firstEventMs),
      interEvent: addDuration(NO_DURATIONS, interEventMs),
    };
    this.windows.addOwn({window: Math.floor(wallMs / WINDOW_MS), key: getKey(subject), value});
  }

  /** Sets which gateways' own results are counted; the others are part of a combined report. */
  setGatewayFilter(isCounted: (gatewayId: string) => boolean): void {
    this.windows.setGatewayFilter(isCounted);
  }

  /** Merges the rows of another gateway. */
  mergePeer(gatewayId: string, incarnation: number, rows: readonly EvidenceRow[]): void {
    this.windows.mergePeer(gatewayId, incarnation, rows.map(toWindowRow));
  }

  /** Replaces rows that the representative of several gateways reports. */
  applyCombined(sourceId: string, rows: readonly EvidenceRow[]): void {
    if (rows.length > 0) this.windows.applyCombined(sourceId, rows.map(toWindowRow));
  }

  /** Drops the rows of a source whose gateways are now reported by another one. */
  removeCombined(sourceId: string): void {
    this.windows.removeCombined(sourceId);
  }

  /**
   * Returns this gateway's rows for other gateways.
   * @param wallMs - Unix time in milliseconds.
   */
  getOwn(wallMs: number): readonly EvidenceRow[] {
    return selectReported(this.windows.getOwn(REPORTED_WINDOWS), wallMs);
  }

  /** Returns the rows of this gateway, of those that report their own ones, and of some sources. */
  getGroup(sourceIds: readonly string[], wallMs: number): readonly EvidenceRow[] {
    return selectReported(this.windows.getGroup(REPORTED_WINDOWS, sourceIds), wallMs);
  }

  /** Returns the rows of some sources. */
  getCombined(sourceIds: readonly string[], wallMs: number): readonly EvidenceRow[] {
    return selectReported(this.windows.getCombined(REPORTED_WINDOWS, sourceIds), wallMs);
  }

  /**
   * Returns the rows of all gateways for one roll-out.
   * @param rolloutKey - See `getRolloutKey`.
   * @param sinceMs - Unix time in milliseconds; windows that end before it are left out.
   */
  getTotal(rolloutKey: number, sinceMs: number): readonly EvidenceRow[] {
    return this.windows
      .getWindows()
      .filter(window => (window + 1) * WINDOW_MS > sinceMs)
      .flatMap(window =>
        [...this.windows.getTotal(window).values()]
          .filter(results => results.rolloutKey === rolloutKey)
          .map(results => ({...results, window})),
      );
  }
}

/** Returns the start of a row's window as Unix time in milliseconds. */
export function getRowStartMs({window}: EvidenceRow): number {
  return window * WINDOW_MS;
}

function selectReported(
  rows: readonly WindowRow<EvidenceResults>[],
  wallMs: number,
): readonly EvidenceRow[] {
  const oldest = Math.floor(wallMs / WINDOW_MS) - REPORTED_WINDOWS;
  return rows.filter(({window}) => window > oldest).map(({window, value}) => ({...value, window}));
}

function toWindowRow({window, ...value}: EvidenceRow): WindowRow<EvidenceResults> {
  return {window, key: getKey(value), value};
}

function getKey(subject: EvidenceSubject): string {
  const {rolloutKey, isTarget, routeKey, loadBand, prefillBand, lostServerKey} = subject;
  return [rolloutKey, isTarget, routeKey, loadBand, prefillBand, lostServerKey].join();
}

function addResults(one: EvidenceResults, other: EvidenceResults): EvidenceResults {
  return {
    ...one,
    requests: one.requests + other.requests,
    errors: one.errors + other.errors,
    firstEvent: addMoments(one.firstEvent, other.firstEvent),
    interEvent: addMoments(one.interEvent, other.interEvent),
  };
}
