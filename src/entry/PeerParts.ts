/** The parts of an entry that talk to its peers: membership, configuration and evidence. */
import type {Blackboard, Incident, Member} from '../blackboard/index.js';
import type {ClaimGathering, ClaimService} from '../claims/index.js';
import type {ConfigurationCurrencyVerdict} from '../controllers/configuration/index.js';
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
  createClaimGathering,
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
  /** Incarnation of this process in the log. */
  readonly writer: string;
  /** Returns the wall clock's time. */
  readonly getNowMs: () => number;
  /** Returns the time of a clock that never goes back, for ages; the log's followers use the same. */
  readonly getAgeClockMs: () => number;
  readonly random: () => number;
  /** Called with evidence that a peer sent. */
  readonly onIncidents: (incidents: readonly Incident[]) => void;
  /** Called with requests that a stopping peer hands over; returns the ids of those taken. */
  readonly onHandover: (requests: readonly HandedRequest[]) => readonly string[];
}

/** Builds and runs the peer server, the membership protocol and the configuration's follower. */
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
   * Listens for peers and starts to probe them.
   * @param callersPort - Port that callers of this entry use.
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

  /** Returns the entries that gather claims. */
  getClaimGathering(): ClaimGathering {
    const {blackboard, settings} = this.options;
    return createClaimGathering(blackboard, this.client, settings.instanceId);
  }

  /**
   * Answers other entries' claims.
   * @param claims - Claims in the log.
   */
  addClaimService(claims: ClaimService): void {
    this.server.addHandlers(createClaimHandlers(claims));
  }

  /**
   * Passes a stream on between entries, for those that are cut off from the log alone.
   * @param options - The stream and what follows it.
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

  /** Returns the port for peers; 0 before the start. */
  getPort(): number {
    return this.peerPort;
  }

  /** Returns whether the configuration known here may be worked with. */
  getCurrency(): ConfigurationCurrencyVerdict {
    return this.configuration.getCurrency();
  }

  /** Tells peers that this entry takes no new work. */
  leave(): void {
    this.membership?.leave();
  }

  /**
   * Sends evidence to all live peers; resolves when each has answered or failed.
   * @param incidents - The evidence.
   */
  async spreadIncidents(incidents: readonly Incident[]): Promise<void> {
    const message = {incidents: incidents.map(toWireIncident)};
    await Promise.allSettled(
      this.getLivePeers().map(peer => this.client.getCalls(peer).reportIncidents(message)),
    );
  }

  /**
   * Hands requests to a peer.
   * @param peer - The peer.
   * @param requests - The requests.
   * @returns Ids of those that it took.
   */
  async handOver(peer: Member, requests: readonly HandedRequest[]): Promise<readonly string[]> {
    const {acceptedRequestIds} = await this.client.getCalls(peer).handover({
      fromInstanceId: this.options.settings.instanceId,
      requests: requests.map(toWireHandedRequest),
    });
    return acceptedRequestIds;
  }

  /** Stops probing and closes the port. */
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
      onReading: (reading, member) => this.configuration.observePeer(reading, member),
    });
  }

  private getLivePeers(): readonly Member[] {
    const {members} = this.options.blackboard.getSection('peers');
    const {instanceId} = this.options.settings;
    return members.filter(member => member.instanceId !== instanceId && member.state !== 'dead');
  }
}
