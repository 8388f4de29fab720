/** Targets of the routes that share a service, by which placements are judged. */
import type {Route, ServingConfiguration} from '../catalog/index.js';
import type {PlacementTargets} from '../controllers/placement/index.js';

type SharedTargets = Omit<PlacementTargets, 'latencyTargetMs'>;

const NO_TARGETS: SharedTargets = {shortestTargetMs: 0, shortestPauseMs: 0};

/** Computes the targets once per configuration. */
export class ServiceTargets {
  private configuration: ServingConfiguration | undefined;
  private readonly byService = new Map<string, SharedTargets>();

  /** Returns the targets of a request of a route and of those with which it shares the service's servers. */
  getTargets(
    configuration: ServingConfiguration | undefined,
    service: string,
    {latencyTargetMs}: Route,
  ): PlacementTargets {
    if (configuration !== this.configuration) this.update(configuration);
    return {latencyTargetMs, ...(this.byService.get(service) ?? NO_TARGETS)};
  }

  private update(configuration: ServingConfiguration | undefined): void {
    this.configuration = configuration;
    this.byService.clear();
    for (const {shares, latencyTargetMs, longestPauseMs} of configuration?.routes ?? []) {
      for (const {service} of shares) {
        const {shortestTargetMs, shortestPauseMs} = this.byService.get(service) ?? NO_TARGETS;
        this.byService.set(service, {
          shortestTargetMs: getShorter(shortestTargetMs, latencyTargetMs),
          shortestPauseMs: getShorter(shortestPauseMs, longestPauseMs),
        });
      }
    }
  }
}

/** Returns the shorter of two targets; 0 stands for none. */
function getShorter(first: number, second: number): number {
  return first > 0 && second > 0 ? Math.min(first, second) : Math.max(first, second);
}
