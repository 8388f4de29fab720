/** Log lines about the gossip traffic. */
import type {Catalog} from '../catalog/index.js';
import type {GossipTraffic, MemberTable} from '../gossip/index.js';
import type {EventLogger} from '../logging/index.js';
import type {LogReadCoordinator} from './LogReadCoordinator.js';

/** Constructor options of `GossipTrafficLog`. */
export interface GossipTrafficLogOptions {
  readonly members: MemberTable;
  readonly catalog: Catalog;
  readonly logReadCoordinator: LogReadCoordinator;
  readonly events: EventLogger;
  /** Returns the traffic since the start. */
  readonly getTraffic: () => GossipTraffic;
}

/** Writes lines with the traffic since the previous one, and how recent and complete the gossiped state is. */
export class GossipTrafficLog {
  private readonly options: GossipTrafficLogOptions;
  private loggedTraffic: GossipTraffic;
  private loggedAtMs: number;

  constructor(options: GossipTrafficLogOptions, nowMs: number) {
    this.options = options;
    this.loggedTraffic = options.getTraffic();
    this.loggedAtMs = nowMs;
  }

  /**
   * Writes one line.
   * @param groups - Number of groups that the gateway is in.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  write(groups: number, nowMs: number): void {
    const {members, catalog, logReadCoordinator, events, getTraffic} = this.options;
    const traffic = getTraffic();
    events.log('gossip', {
      intervalMs: Math.round(nowMs - this.loggedAtMs),
      sentDatagrams: traffic.sentDatagrams - this.loggedTraffic.sentDatagrams,
      sentBytes: traffic.sentBytes - this.loggedTraffic.sentBytes,
      receivedDatagrams: traffic.receivedDatagrams - this.loggedTraffic.receivedDatagrams,
      receivedBytes: traffic.receivedBytes - this.loggedTraffic.receivedBytes,
      groups,
      heard: members.getLiveMembers(nowMs).length,
      known: members.getKnownCount(nowMs),
      registrationsAgeMs: Math.round(catalog.getRegistrationsAgeMs(nowMs)),
      configurationAgeMs: Math.round(logReadCoordinator.getOperatorProofAgeMs()),
    });
    this.loggedTraffic = traffic;
    this.loggedAtMs = nowMs;
  }
}
