/** Passes callers' requests on to other gateways while this one has lost its links to the backend servers. */
import {
  ForwardedRun,
  RETRY_ELSEWHERE_MS,
  type ForwardingPeer,
  type PeerTransport,
  type ResponseSink,
  type ServingRequest,
} from '../exchange/index.js';
import type {GatewayMember, MemberTable} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {GatewayMetrics} from './GatewayMetrics.js';
import type {GatewaySettings} from './GatewaySettings.js';

/** Constructor options of `RequestForwarder`. */
export interface RequestForwarderOptions {
  readonly settings: Pick<GatewaySettings, 'failureDomain' | 'regionByDomain'>;
  readonly transport: PeerTransport;
  readonly members: MemberTable;
  readonly metrics: Pick<GatewayMetrics, 'addForwarded'>;
  readonly events: EventLogger;
  /** Returns the monotonic time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns a random number from 0 to less than 1. */
  readonly random: () => number;
}

/** A request to pass on. */
export interface Forwarding {
  readonly request: ServingRequest;
  /** Lists of regions that are allowed for it; an empty list allows every one. */
  readonly homeRegions: readonly (readonly string[])[];
  /** Monotonic time in milliseconds. */
  readonly deadlineAtMs: number;
  readonly sink: ResponseSink;
}

/** Bounds the connections and the memory that forwarded requests take here and at the other gateways. */
const MAX_FORWARDED = 200;

/** All requests that one gateway has passed on. */
export class RequestForwarder {
  private readonly options: RequestForwarderOptions;
  private readonly runs = new Set<ForwardedRun>();
  /** Open requests by the id of the gateway that has them. */
  private readonly openByPeer = new Map<string, number>();

  constructor(options: RequestForwarderOptions) {
    this.options = options;
  }

  /** Number of forwarded requests in progress. */
  get size(): number {
    return this.runs.size;
  }

  /** Returns whether another gateway can take a request. */
  canForward({homeRegions}: Pick<Forwarding, 'homeRegions'>): boolean {
    return this.runs.size < MAX_FORWARDED && this.getPeers(homeRegions).length > 0;
  }

  /** Passes a request on. */
  forward({request, homeRegions, deadlineAtMs, sink}: Forwarding): ForwardedRun {
    const {transport, metrics, events, getNowMs} = this.options;
    let lastPeerId: string | undefined;
    const run: ForwardedRun = new ForwardedRun({
      request,
      deadlineAtMs,
      sink,
      transport,
      choosePeer: triedIds => this.choosePeer(homeRegions, triedIds),
      onSent: peerId => {
        this.addOpen(lastPeerId, -1);
        this.addOpen(peerId, 1);
        lastPeerId = peerId;
      },
      retryAfterMs: RETRY_ELSEWHERE_MS,
      getNowMs,
      onOutcome: ({kind, status, peerId, totalMs, detail}) => {
        this.runs.delete(run);
        this.addOpen(lastPeerId, -1);
        metrics.addForwarded(kind);
        events.log('request forwarded', {
          request: request.id,
          gateway: peerId,
          outcome: kind,
          status,
          totalMs: Math.round(totalMs),
          detail,
        });
      },
    });
    this.runs.add(run);
    run.start();
    return run;
  }

  /** Ends all forwarded requests with an error, since the process is about to exit. */
  endAll(): void {
    for (const run of [...this.runs]) run.stop();
  }

  /** Returns the gateway that has the fewest open requests of this one, preferably of the own region. */
  private choosePeer(
    homeRegions: Forwarding['homeRegions'],
    triedIds: ReadonlySet<string>,
  ): ForwardingPeer | undefined {
    const {settings, random} = this.options;
    const {failureDomain, regionByDomain} = settings;
    const peers = this.getPeers(homeRegions).filter(({id}) => !triedIds.has(id));
    const ownRegion = regionByDomain.get(failureDomain);
    const near = peers.filter(peer => regionByDomain.get(peer.failureDomain) === ownRegion);
    const candidates = (near.length > 0 ? near : peers).map(peer => ({
      peer,
      open: this.openByPeer.get(peer.id) ?? 0,
      rank: random(),
    }));
    const [best] = candidates.sort((a, b) => a.open - b.open || a.rank - b.rank);
    return best?.peer;
  }

  /** Returns the gateways that reach the servers, in regions that all non-empty lists allow. */
  private getPeers(homeRegions: Forwarding['homeRegions']): readonly GatewayMember[] {
    const {members, settings, getNowMs} = this.options;
    const regionLists = homeRegions.filter(regions => regions.length > 0);
    return members.getLiveMembers(getNowMs()).filter(member => {
      if (!member.isReady || member.isLeaving || member.isCutOff) return false;
      const region = settings.regionByDomain.get(member.failureDomain) ?? '';
      return regionLists.every(regions => regions.includes(region));
    });
  }

  private addOpen(peerId: string | undefined, change: number): void {
    if (peerId === undefined) return;
    const open = (this.openByPeer.get(peerId) ?? 0) + change;
    if (open > 0) this.openByPeer.set(peerId, open);
    else this.openByPeer.delete(peerId);
  }
}
