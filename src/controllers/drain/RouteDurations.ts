/** How long the requests of each route lasted lately, from which a stopping process predicts whether another one can end. */

/** Requests of a route that are remembered. */
const MAX_REMEMBERED = 100;
/** Fewer requests than this say nothing about how long the next one may last. */
const MIN_REMEMBERED = 20;
/** Factor on the longest remembered duration: the next request may last longer than all of them. */
const PREDICTION_FACTOR = 2;

/** Remembers the latest durations of each route. */
export class RouteDurations {
  private readonly durationsByRoute = new Map<string, number[]>();

  /**
   * Adds a request that has ended.
   * @param route - Name of its route.
   * @param durationMs - Time from its arrival to the end of its response.
   */
  addDuration(route: string, durationMs: number): void {
    const durations = this.durationsByRoute.get(route) ?? [];
    this.durationsByRoute.set(route, durations);
    durations.push(durationMs);
    if (durations.length > MAX_REMEMBERED) durations.shift();
  }

  /**
   * Returns a duration that the next request of a route is unlikely to exceed; undefined if too few have been seen.
   * @param route - Name of the route.
   */
  getLongestExpectedMs(route: string): number | undefined {
    const durations = this.durationsByRoute.get(route);
    if (!durations || durations.length < MIN_REMEMBERED) return undefined;
    return Math.max(...durations) * PREDICTION_FACTOR;
  }
}
