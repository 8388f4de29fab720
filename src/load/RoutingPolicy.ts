/** Policies by which a request finds its server: the system's own, and simple ones to compare it with. */
import {request} from 'undici';
import {z} from 'zod';
import type {Arrival} from './ArrivalPlan.js';

/** Names of the policies. */
export const POLICY_NAMES = ['system', 'round-robin', 'least-open', 'random'] as const;

/** Name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Chooses a server for each request. */
export interface RoutingPolicy {
  /** Returns the base URL of a server; it counts as open there until `release`. */
  choose(arrival: Arrival, nowMs: number): Promise<string>;
  release(url: string): void;
}

/** Where the policies may send requests. */
export interface PolicyTargets {
  /** Entries of the system. */
  readonly entryUrls: readonly string[];
  /** Engines that the simple policies reach directly. */
  readonly engineUrls: readonly string[];
}

const addressesSchema = z.object({
  addresses: z.array(z.object({address: z.string(), port: z.number().int()})),
  ttlMs: z.number(),
});

/** Creates a policy. */
export function createPolicy(
  name: PolicyName,
  {entryUrls, engineUrls}: PolicyTargets,
  random: () => number,
): RoutingPolicy {
  if (name === 'system') return new SystemPolicy(entryUrls);
  if (name === 'least-open') return new LeastOpenPolicy(engineUrls);
  let next = 0;
  const pick =
    name === 'random'
      ? () => engineUrls[Math.floor(random() * engineUrls.length)]
      : () => engineUrls[next++ % engineUrls.length];
  return {choose: async () => pick(), release: () => undefined};
}

/** Sends to the server with the fewest open requests of this load. */
class LeastOpenPolicy implements RoutingPolicy {
  private readonly openCounts: Map<string, number>;

  constructor(urls: readonly string[]) {
    this.openCounts = new Map(urls.map(url => [url, 0]));
  }

  async choose(): Promise<string> {
    const [[url]] = [...this.openCounts].sort(([, a], [, b]) => a - b);
    this.addOpen(url, 1);
    return url;
  }

  release(url: string): void {
    this.addOpen(url, -1);
  }

  private addOpen(url: string, change: number): void {
    this.openCounts.set(url, (this.openCounts.get(url) ?? 0) + change);
  }
}

interface KnownEntry {
  readonly url: string;
  readonly untilMs: number;
}

/** Asks the system which entry to use, and keeps the answer as long as it says. */
class SystemPolicy implements RoutingPolicy {
  private readonly entryUrls: readonly string[];
  private readonly entries = new Map<string, KnownEntry>();

  constructor(entryUrls: readonly string[]) {
    this.entryUrls = entryUrls;
  }

  async choose({workspace}: Arrival, nowMs: number): Promise<string> {
    const known = this.entries.get(workspace.name);
    if (known && known.untilMs > nowMs) return known.url;
    const {url, ttlMs} = await this.lookUp(workspace.key);
    this.entries.set(workspace.name, {url, untilMs: nowMs + ttlMs});
    return url;
  }

  release(): void {
    // The system counts its own requests.
  }

  private async lookUp(key: string): Promise<{readonly url: string; readonly ttlMs: number}> {
    for (const entryUrl of this.entryUrls) {
      try {
        const headers = {authorization: `Bearer ${key}`};
        const {body} = await request(`${entryUrl}/v1/addresses`, {headers});
        const {addresses, ttlMs} = addressesSchema.parse(await body.json());
        const [{address, port}] = addresses;
        return {url: `http://${address}:${port}`, ttlMs};
      } catch {
        // The next entry may answer.
      }
    }
    return {url: this.entryUrls[0], ttlMs: 0};
  }
}
