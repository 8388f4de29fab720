/** Decides without a coordinator whether a gateway may start another request of a service. */

/** What one gateway knows of the load of a service. */
export interface ServiceLoadView {
  /** Slots of the servers that may get requests. */
  readonly slots: number;
  /** Requests that this gateway has open at them. */
  readonly ownRequests: number;
  /** Requests that the other gateways have open at them, by their last reports. */
  readonly peerRequests: number;
  /** Gateways that send requests, including this one. */
  readonly gateways: number;
  /** Whether the load of the other gateways is known; true if there are none. */
  readonly isFleetKnown: boolean;
}

/** Own load at an earlier time. */
interface LoadSample {
  readonly atMs: number;
  readonly ownRequests: number;
}

/**
 * Requests that are started beyond the slots, as a share of them. They keep servers busy in the time until the end of a
 * request is known, and where the load of the servers differs.
 */
const OVERCOMMIT_SHARE = 0.06;
/** Age of the other gateways' reports: the interval of the gossip, and its delay in the network. */
const REPORT_AGE_MS = 300;
/** Interval at which the view and the boost are updated. */
export const VIEW_INTERVAL_MS = 50;
/** Bounds of the factor on a gateway's share of the free slots. */
const MIN_BOOST = 0.25;
const MAX_BOOST = 4;
/** Change of the factor with a view, for each share of the limit that is free or exceeded. */
const BOOST_GAIN = 0.25;
const MAX_BOOST_ERROR = 0.2;
/** Share of the limit up to which the load is low: gateways may then have more than their share. */
const LOW_LOAD_SHARE = 0.7;
/** Requests that a gateway may start at low load within the age of a report, whatever its share is. */
const LOW_LOAD_GROWTH = 3;
/** Service time that is assumed until one was measured. */
const DEFAULT_SERVICE_MS = 500;

/**
 * One gateway's part of the slots of a service.
 *
 * Each gateway may always have the number of slots open that is its even part. Beyond that, it may replace the requests
 * that end, and start a part of what the reports show as free. The part is raised by a factor while slots stay free, as
 * when the other gateways have no requests for them. All gateways see about the same load, so that their factors agree.
 * While more requests are open than the limit, gateways above their even part don't replace all that end. A gateway that
 * has just joined therefore gets its part, and the sum returns to the limit whatever gateways have died or frozen.
 */
export class ServiceRoom {
  private view: ServiceLoadView | undefined;
  private viewAtMs = -Infinity;
  private ownRequests = 0;
  /** Own load at the times of the views, oldest first; the first one is as old as the reports of the others. */
  private readonly samples: LoadSample[] = [];
  private boost = 1;
  /** Fraction of a request that may be started; it accumulates while the part is less than one request. */
  private credit = 1;
  private creditAtMs = -Infinity;

  /** Returns whether the view is so old that `update` is due. */
  isUpdateDue(nowMs: number): boolean {
    return nowMs - this.viewAtMs >= VIEW_INTERVAL_MS;
  }

  /** Applies the present load of the service. */
  update(view: ServiceLoadView, nowMs: number): void {
    this.view = view;
    this.viewAtMs = nowMs;
    this.ownRequests = view.ownRequests;
    const {samples} = this;
    samples.push({atMs: nowMs, ownRequests: view.ownRequests});
    while (samples.length > 1 && samples[1].atMs <= nowMs - REPORT_AGE_MS) samples.shift();
    const limit = getLimit(view);
    const total = this.getReportedTotal(view);
    const free = Math.min(MAX_BOOST_ERROR, Math.max(-MAX_BOOST_ERROR, 1 - total / limit));
    this.boost = Math.min(MAX_BOOST, Math.max(MIN_BOOST, this.boost * (1 + BOOST_GAIN * free)));
  }

  /**
   * Returns whether this gateway may start another request now.
   * @param serviceMs - Mean time for which a request is open; undefined if none was measured.
   */
  mayStart(serviceMs: number | undefined, nowMs: number): boolean {
    const {view} = this;
    if (!view || !view.isFleetKnown || view.slots === 0) return true;
    const remaining = this.getAllowed(view) - this.ownRequests;
    const sinceMs = Math.min(nowMs - this.creditAtMs, VIEW_INTERVAL_MS);
    this.creditAtMs = nowMs;
    if (remaining >= 1) return true;
    const holdMs = Math.min(REPORT_AGE_MS, serviceMs ?? DEFAULT_SERVICE_MS);
    this.credit = Math.min(1, this.credit + (Math.max(0, remaining) * sinceMs) / holdMs);
    return remaining > 0 && this.credit >= 1;
  }

  /** Records that a request was started. */
  addRequest(): void {
    const {view} = this;
    if (view && this.getAllowed(view) - this.ownRequests < 1) this.credit = 0;
    this.ownRequests += 1;
  }

  /** Records that a started request has ended. */
  removeRequest(): void {
    this.ownRequests = Math.max(0, this.ownRequests - 1);
  }

  /** Returns the requests that the whole fleet may have open for each gateway; undefined if it isn't known. */
  getEvenPart(): number | undefined {
    return this.view && this.view.isFleetKnown && this.view.slots > 0
      ? this.view.slots / this.view.gateways
      : undefined;
  }

  /** Returns the number of requests that this gateway may have open. */
  private getAllowed(view: ServiceLoadView): number {
    const limit = getLimit(view);
    const evenPart = limit / view.gateways;
    const reported = this.samples[0].ownRequests;
    const total = this.getReportedTotal(view);
    if (total > limit) return Math.max(evenPart, (reported * limit) / total);
    const growth = ((limit - total) * this.boost) / view.gateways;
    const minGrowth = total <= limit * LOW_LOAD_SHARE ? LOW_LOAD_GROWTH : 0;
    return Math.max(evenPart, reported + Math.max(growth, minGrowth));
  }

  /** Returns the load of all gateways at the time of the reports. */
  private getReportedTotal({peerRequests}: ServiceLoadView): number {
    return peerRequests + this.samples[0].ownRequests;
  }
}

function getLimit({slots}: ServiceLoadView): number {
  return slots * (1 + OVERCOMMIT_SHARE);
}
