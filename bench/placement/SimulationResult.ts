/** Measurements of a placement simulation. */
import {REQUEST_KINDS, type SimulatedRequest} from './RequestMix.js';

interface RequestResult {
  readonly request: SimulatedRequest;
  readonly serverId: string;
  firstEventMs: number | undefined;
}

const TENTHS = 10;

/** Collects the results of the measured part of a simulation. */
export class SimulationResult {
  private readonly requests: RequestResult[] = [];
  private readonly busiestShares: number[] = [];
  private sharedTokensBefore = 0;
  private sharedTokensAfter = 0;

  /** Adds a request; its time to the first event is set later. */
  addRequest(request: SimulatedRequest, serverId: string): RequestResult {
    const result = {request, serverId, firstEventMs: undefined};
    this.requests.push(result);
    return result;
  }

  /** Adds the open requests of all servers at one time. */
  addOpen(openRequests: readonly number[]): void {
    const mean = openRequests.reduce((sum, open) => sum + open, 0) / openRequests.length;
    if (mean > 0) this.busiestShares.push(Math.max(...openRequests) / mean);
  }

  startCounting(sharedTokens: number): void {
    this.sharedTokensBefore = sharedTokens;
  }

  endCounting(sharedTokens: number): void {
    this.sharedTokensAfter = sharedTokens;
  }

  get requestCount(): number {
    return this.requests.length;
  }

  /** Share of all requests within their targets. */
  get shareInTime(): number {
    return getShareInTime(this.requests);
  }

  /** Share within the target by kind. */
  get shareByKind(): ReadonlyMap<string, number> {
    return new Map(
      REQUEST_KINDS.map(({name}) => [
        name,
        getShareInTime(this.requests.filter(({request}) => request.kind.name === name)),
      ]),
    );
  }

  /** Share within the target by tenth of the prompt sizes, the smallest first. */
  get shareBySizeTenth(): readonly number[] {
    const bySize = [...this.requests].sort(
      (a, b) => a.request.promptTokens - b.request.promptTokens,
    );
    return Array.from({length: TENTHS}, (_, tenth) => {
      const from = Math.floor((bySize.length * tenth) / TENTHS);
      const to = Math.floor((bySize.length * (tenth + 1)) / TENTHS);
      return getShareInTime(bySize.slice(from, to));
    });
  }

  /** Mean over time of the busiest server's open requests over the mean of all servers. */
  get busiestOverMean(): number {
    const {busiestShares} = this;
    return busiestShares.reduce((sum, share) => sum + share, 0) / busiestShares.length;
  }

  /** Tokens of shared segments that were prefilled, per request. */
  get sharedTokensPerRequest(): number {
    return (this.sharedTokensAfter - this.sharedTokensBefore) / this.requests.length;
  }

  /** Returns a percentile of the times to the first event; a request without one counts as infinitely late. */
  getFirstEventMs(percentile: number): number {
    const times = this.requests
      .map(({firstEventMs}) => firstEventMs ?? Infinity)
      .sort((a, b) => a - b);
    return times[Math.min(times.length - 1, Math.floor((times.length * percentile) / 100))];
  }
}

function getShareInTime(results: readonly RequestResult[]): number {
  const inTime = results.filter(
    ({request, firstEventMs}) =>
      firstEventMs !== undefined && firstEventMs <= request.kind.targetMs,
  );
  return inTime.length / Math.max(1, results.length);
}
