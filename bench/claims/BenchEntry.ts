/** An entry's peer and claim parts in this process, for measurements. */
import {Blackboard, type Instance} from '../../src/blackboard/index.js';
import {ClaimService} from '../../src/claims/index.js';
import {LogClient} from '../../src/log/index.js';
import {
  MembershipLoop,
  PeerClient,
  PeerKeys,
  PeerServer,
  createClaimGathering,
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

/** Claims and takes part in membership. */
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
      gathering: createClaimGathering(this.blackboard, this.client, instanceId),
    });
  }

  /** Listens and starts to claim. */
  async start(): Promise<void> {
    this.peerPort = await this.server.start();
    this.membership = new MembershipLoop({
      self: {...this.getPlace(), callersPort: 1},
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

  /** Starts to probe the listed entries. */
  join(instances: readonly Instance[]): void {
    this.blackboard.setSection('instances', {instances, readAtMs: Date.now()});
    this.membership?.start();
  }

  /** Returns this entry as the platform would list it. */
  getInstance(): Instance {
    const kind = {role: 'entry', machineClass: 'small', market: 'reclaimable'} as const;
    return {...this.getPlace(), ...kind, port: 1, state: 'live'};
  }

  /** Stops at once, as a crash does. */
  async stop(): Promise<void> {
    await Promise.all([this.membership?.stop(), this.server.stop()]);
    await this.claims.stop();
    this.client.close();
    await this.log.close();
  }

  private getPlace() {
    const {instanceId} = this.options;
    const {peerPort} = this;
    return {instanceId, address: ADDRESS, peerPort, failureDomain: FAILURE_DOMAIN};
  }
}
