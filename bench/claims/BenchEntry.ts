/** The membership and claim parts of an entry, without request serving, for measurements. */
import {Blackboard, type Instance} from '../../src/blackboard/index.js';
import {ClaimService} from '../../src/claims/index.js';
import {LogClient} from '../../src/log/index.js';
import {
  MembershipLoop,
  PeerClient,
  PeerKeys,
  PeerServer,
  createClaimAggregation,
  createClaimHandlers,
} from '../../src/peer/index.js';

/** Options of a `BenchEntry`. */
export interface BenchEntryOptions {
  readonly instanceId: string;
  readonly logUrl: string;
}

const ADDRESS = '127.0.0.1';
const FAILURE_DOMAIN = 'a';
const TIMEOUT_MS = 2_000;

/** Joins the membership protocol and claims idempotency keys over the shared log. */
export class BenchEntry {
  readonly claims: ClaimService;
  readonly blackboard = new Blackboard();
  private readonly options: BenchEntryOptions;
  private readonly client: PeerClient;
  private readonly server: PeerServer;
  private readonly log: LogClient;
  private membership: MembershipLoop | undefined;
  private peerPort = 0;

  constructor(options: BenchEntryOptions) {
    this.options = options;
    const {instanceId, logUrl} = options;
    const keys = new PeerKeys(['bench']);
    this.client = new PeerClient({keys, timeoutMs: TIMEOUT_MS});
    this.server = new PeerServer({address: ADDRESS, port: 0, keys});
    this.log = new LogClient({url: logUrl, timeoutMs: TIMEOUT_MS});
    this.claims = new ClaimService({
      log: this.log,
      claimant: instanceId,
      getNowMs: () => Date.now(),
      isClaimantLive: () => true,
      aggregation: createClaimAggregation(this.blackboard, this.client, instanceId),
    });
  }

  /** Listens for peers and starts the claim service; probes start with `join`. */
  async start(): Promise<void> {
    this.peerPort = await this.server.start();
    this.membership = new MembershipLoop({
      self: {...this.createMemberAddress(), callersPort: 1},
      client: this.client,
      blackboard: this.blackboard,
      getNowMs: () => Date.now(),
      random: Math.random,
    });
    this.server.addHandlers({
      ...createClaimHandlers(this.claims),
      ...this.membership.getHandlers(),
    });
    this.claims.start();
  }

  /** Sets the instance list and starts to probe the entries in it. */
  join(instances: readonly Instance[]): void {
    this.blackboard.setSection('instances', {instances, readAtMs: Date.now()});
    this.membership?.start();
  }

  /** Returns this entry as an instance of the platform's list. */
  getInstance(): Instance {
    const kind = {role: 'entry', machineClass: 'small', market: 'reclaimable'} as const;
    return {...this.createMemberAddress(), ...kind, port: 1, state: 'live'};
  }

  /** Stops without announcing that it leaves, as a crash does. */
  async stop(): Promise<void> {
    await Promise.all([this.membership?.stop(), this.server.stop()]);
    await this.claims.stop();
    this.client.close();
    await this.log.close();
  }

  private createMemberAddress() {
    const {instanceId} = this.options;
    const {peerPort} = this;
    return {instanceId, address: ADDRESS, peerPort, failureDomain: FAILURE_DOMAIN};
  }
}
