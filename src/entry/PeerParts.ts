/** The components of an entry that communicate with its peers: membership, configuration, relays and handover. */
import type {Blackboard, Incident, Member} from '../blackboard/index.js';
import type {ClaimAggregation, ClaimService} from '../claims/index.js';
import type {ConfigurationCurrencyDecision} from '../controllers/configuration/index.js';
import type {HandedRequest} from '../http/index.js';
import type {LogAccess} from '../log/index.js';
import {
  ConfigurationFollower,
  MembershipLoop,
  PeerClient,
  PeerKeys,
  PeerServer,
  StreamRelay,
  fromWireIncidents,
  createClaimAggregation,
  createClaimHandlers,
  createReadLogHandler,
  toWireIncident,
  type StreamRelayOptions,
} from '../peer/index.js';
import type {EntrySettings} from './EntrySettings.js';
import {fromWireHandedRequest, toWireHandedRequest} from './handoverCodec.js';

const PEER_TIMEOUT_MS = 1_000;

/** Options of `PeerParts`. */
export interface PeerPartsOptions {
  readonly settings: EntrySettings;
  readonly blackboard: Blackboard;
  readonly log: LogAccess;
  /** Id of this process in the log; new at each start. */
  readonly writer: string;
  /** Returns the wall clock's Unix time in milliseconds. */
  readonly getNowMs: () => number;
  /** Returns the time in milliseconds of a clock that never goes back, for ages; stream followers must use the same. */
  readonly getAgeClockMs: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Called with the incidents that a peer reports. */
  readonly onIncidents: (incidents: readonly Incident[]) => void;
  /** Called with the requests that a stopping peer hands over; returns the ids of those that are accepted. */
  readonly onHandover: (requests: readonly HandedRequest[]) => readonly string[];
}

/** Creates and runs the peer server and client, the membership protocol and the configuration follower. */
export class PeerParts {
  private readonly options: PeerPartsOptions;
  private readonly client: PeerClient;
  private readonly server: PeerServer;
  private readonly configuration: ConfigurationFollower;
  private membership: MembershipLoop | undefined;
  private readonly relays: StreamRelay[] = [];
  private peerPort = 0;

  constructor(options: PeerPartsOptions) {
    this.options = options;
    const {settings, blackboard, log, writer, getAgeClockMs, random} = options;
    const keys = new PeerKeys(settings.deploymentKeys);
    const {address} = settings;
    this.client = new PeerClient({keys, timeoutMs: PEER_TIMEOUT_MS});
    this.server = new PeerServer({address, port: settings.peerPort, keys});
    this.configuration = new ConfigurationFollower({
      log,
      client: this.client,
      blackboard,
      writer,
      getNowMs: getAgeClockMs,
      random,
      snapshotIntervalMs: settings.snapshotIntervalMs,
    });
  }

  /**
   * Opens the peer port and starts the membership protocol.
   * @param callersPort - Actual port for callers, announced to peers.
   */
  async start(callersPort: number): Promise<void> {
    this.peerPort = await this.server.start();
    this.membership = this.createMembership(callersPort);
    this.server.addHandlers({
      ...createReadLogHandler([this.configuration, ...this.relays]),
      ...this.membership.getHandlers(),
      reportIncidents: ({incidents}) => {
        this.options.onIncidents(fromWireIncidents(incidents));
        return {};
      },
      handover: ({requests}) => ({
        acceptedRequestIds: [...this.options.onHandover(requests.map(fromWireHandedRequest))],
      }),
    });
    this.configuration.start();
    this.membership.start();
  }

  /** Returns an object that selects the claim aggregator for this entry. */
  getClaimAggregation(): ClaimAggregation {
    const {blackboard, settings} = this.options;
    return createClaimAggregation(blackboard, this.client, settings.instanceId);
  }

  /**
   * Serves claims of other entries.
   * @param claims - Appends the claims to the log.
   */
  addClaimService(claims: ClaimService): void {
    this.server.addHandlers(createClaimHandlers(claims));
  }

  /**
   * Creates a relay that provides a stream's state to peers, and requests it from them if the log is unreachable. Must
   * be called before `start`; the caller starts and stops the relay.
   * @param options - The stream, and the follower and fold that read it.
   */
  createRelay(
    options: Pick<StreamRelayOptions, 'stream' | 'follower' | 'fold' | 'onAdopted'>,
  ): StreamRelay {
    const {blackboard, settings, writer, getAgeClockMs: getNowMs, random} = this.options;
    const {instanceId: ownInstanceId} = settings;
    const {client} = this;
    const shared = {client, blackboard, ownInstanceId, writer, getNowMs, random};
    const relay = new StreamRelay({...options, ...shared});
    this.relays.push(relay);
    return relay;
  }

  /** Returns the actual port for peers; 0 before `start`. */
  getPort(): number {
    return this.peerPort;
  }

  /** Returns whether this entry's configuration is current enough to accept new requests. */
  getCurrency(): ConfigurationCurrencyDecision {
    return this.configuration.getCurrency();
  }

  /** Announces to peers that this entry accepts no new work; returns before they know. */
  leave(): void {
    this.membership?.leave();
  }

  /**
   * Reports incidents to all peers that aren't dead. Resolves when each call has ended; failed calls are not retried.
   */
  async broadcastIncidents(incidents: readonly Incident[]): Promise<void> {
    const message = {incidents: incidents.map(toWireIncident)};
    await Promise.allSettled(
      this.getLivePeers().map(peer => this.client.getCalls(peer).reportIncidents(message)),
    );
  }

  /**
   * Hands open requests over to a peer, which continues them.
   * @returns Ids of the requests that the peer accepted.
   */
  async handOver(peer: Member, requests: readonly HandedRequest[]): Promise<readonly string[]> {
    const {acceptedRequestIds} = await this.client.getCalls(peer).handover({
      fromInstanceId: this.options.settings.instanceId,
      requests: requests.map(toWireHandedRequest),
    });
    return acceptedRequestIds;
  }

  /** Stops all components and closes the peer port. Relays are stopped by their owner. */
  async stop(): Promise<void> {
    await this.membership?.stop();
    await this.configuration.stop();
    await this.server.stop();
    this.client.close();
  }

  private createMembership(callersPort: number): MembershipLoop {
    const {settings, blackboard, getNowMs, getAgeClockMs, random} = this.options;
    const {instanceId, address, failureDomain} = settings;
    return new MembershipLoop({
      self: {instanceId, address, failureDomain, callersPort, peerPort: this.peerPort},
      incarnation: getNowMs(),
      client: this.client,
      blackboard,
      getNowMs: getAgeClockMs,
      random,
      onProbeResult: (result, member) => this.configuration.recordProbeResult(result, member),
    });
  }

  private getLivePeers(): readonly Member[] {
    const {members} = this.options.blackboard.getSection('peers');
    const {instanceId} = this.options.settings;
    return members.filter(member => member.instanceId !== instanceId && member.state !== 'dead');
  }
}
